#pragma once

#include "libs/base/refusal.h"
#include "plugins/admission/downstreamload.h"
#include "plugins/admission/loadreport.h"
#include "plugins/calls/callrequest.h"
#include "plugins/calls/upstreamnotice.h"

#include <optional>
#include <vector>

namespace mulberry {

/// Response of a guard to one attempt. Status, headers and body are those of the upstream's response, if there is one.
struct call_response {
    /// Name of the responding node and sequence number of the attempt, by which the sender matches the response to its
    /// call.
    std::string receiver;
    std::uint64_t sequence = 0;
    /// ran: the upstream responded. not_run: the upstream has not run the request and never will. unknown: any other
    /// case.
    outcome result = outcome::unknown;
    /// Set unless the upstream responded.
    std::optional<refusal_reason> reason;
    duration retry_after{0};
    int status = 0;
    header_list headers;
    message_body body;
    /// Number of retries of call_request::retries that were not used.
    std::uint32_t unused_retries = 0;
    /// True if a retry of a nested call was refused because the allowance or the budget was exhausted.
    bool retries_exhausted = false;
    /// True if a nested call ended in a refusal or failure.
    bool failed_below = false;
    /// True if this is the stored response of an earlier run under the same idempotency key.
    bool replayed = false;
    load_report load;
    /// Overloaded services further downstream in the call graph.
    std::vector<downstream_load> downstream{};
    /// What the upstream states about itself, as the guard knows it.
    upstream_notice notice{};
    duration queue_wait{0};
    duration service_time{0};

    /// The refusal that this response reports. Only call this if reason is set.
    refusal as_refusal() const { return {*reason, result, retry_after}; }
};

} // namespace mulberry
