#pragma once

#include "libs/base/importance.h"
#include "libs/base/time.h"

#include <cstdint>

namespace mulberry {

/// Load of a guard, which responses report to the senders. It applies to the organisation of the request.
struct load_report {
    /// Number of running requests divided by the concurrency limit, averaged over the last window.
    float utilisation = 0;
    /// Mean wait in the queue over the last window.
    duration queue_delay{0};
    /// The highest importance of which some requests are shed. All more important requests are admitted.
    importance threshold = importance::background;
    /// Share of the requests at the threshold that is admitted, in [0, 1]. 1 means that nothing is shed.
    float admitted_share = 1;
    /// Number of requests that the upstream may run at once.
    std::uint32_t concurrency_limit = 0;

    bool operator==(const load_report&) const = default;
};

/// Share of the requests of an importance that is admitted according to the report, in [0, 1].
float admitted_share_of(const load_report& report, importance level);

/// Merges the report of a guard with the report of a downstream hop of the same request. The result has the stricter
/// threshold and share and the higher utilisation and delay, so that the entry is notified of the bottleneck of the
/// whole call chain. The concurrency limit is that of the guard.
load_report merge_load_reports(const load_report& own, const load_report& downstream);

} // namespace mulberry
