#pragma once

#include "libs/base/importance.h"
#include "libs/base/time.h"

#include <cstdint>

namespace mulberry {

/// State of a guard as the answers carry it to the senders, as it applies to the organisation of the answered request.
struct load_report {
    /// Requests running divided by the concurrency limit, averaged over the last window.
    float utilisation = 0;
    /// Mean wait in the queue over the last window.
    duration queue_delay{0};
    /// The highest importance of which a part is shed. More important requests are all admitted.
    importance threshold = importance::background;
    /// Part of the requests at the threshold that is admitted, in [0, 1]. 1 means that nothing is shed.
    float admitted_share = 1;
    /// Requests that the upstream may run at once.
    std::uint32_t concurrency_limit = 0;

    bool operator==(const load_report&) const = default;
};

/// Part of the requests of an importance that the report says are admitted, in [0, 1].
float admitted_share_of(const load_report& report, importance level);

/// Joins the report of a guard with the report of a deeper hop of the same request: the stricter threshold and share
/// and the higher utilisation and delay win, so that the entry learns of the bottleneck of the whole call chain.
load_report stricter(const load_report& own, const load_report& deeper);

} // namespace mulberry
