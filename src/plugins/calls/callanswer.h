#pragma once

#include "libs/base/refusal.h"
#include "plugins/admission/downstreamload.h"
#include "plugins/admission/loadreport.h"
#include "plugins/calls/callrequest.h"

#include <optional>
#include <vector>

namespace mulberry {

/// What the guard answers to one attempt. Status, headers and body are the upstream's if it answered.
struct call_answer {
    /// Name of the answering node and sequence of the attempt, by which the sender pairs the answer with its call.
    std::string receiver;
    std::uint64_t sequence = 0;
    /// ran: the upstream answered. not_run: it never got the request and never will. unknown: everything else.
    outcome result = outcome::unknown;
    /// Set unless the upstream answered.
    std::optional<refusal_reason> reason;
    duration retry_after{0};
    int status = 0;
    header_list headers;
    std::string body;
    /// Part of call_request::retries that was not used.
    std::uint32_t unused_retries = 0;
    /// A retry below was refused because the allowance or the budget was spent.
    bool retries_exhausted = false;
    /// The failure arose at a nested call.
    bool failed_below = false;
    /// The answer was kept from an earlier run under the same idempotency key.
    bool replayed = false;
    load_report load;
    /// Services further down the call graph that lack room.
    std::vector<downstream_load> downstream{};
    duration queue_wait{0};
    duration service_time{0};

    /// The refusal that this answer stands for; call only when reason is set.
    refusal as_refusal() const { return {*reason, result, retry_after}; }
};

} // namespace mulberry
