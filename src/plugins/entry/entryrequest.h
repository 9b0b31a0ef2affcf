#pragma once

#include "plugins/calls/callcontext.h"
#include "plugins/calls/callresponse.h"
#include "plugins/calls/calltransport.h"
#include "plugins/calls/requestfingerprint.h"
#include "plugins/entry/callerrequest.h"
#include "plugins/entry/matchedroute.h"
#include "plugins/idempotency/idempotencykey.h"
#include "plugins/retry/attemptallowance.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberry::detail {

/// State of a request from its receipt until the response to its caller.
struct entry_request {
    std::uint64_t handle = 0;
    std::string request_id;
    caller_request input;
    std::function<void(caller_response)> done;
    time_point received_at;
    /// Context of the request that made this nested call; null for a caller's request.
    std::shared_ptr<call_context> parent;
    std::optional<attempt_allowance::attempt_reservation> parent_reservation;

    /// Whether this is a call of the upstream beside this node that carries no context.
    bool is_upstream_call = false;
    /// Nested calls are not throttled: refusing one would waste the work already done for its parent request.
    bool may_be_throttled() const { return parent == nullptr && !is_upstream_call; }
    std::string service;
    std::string path;
    route rules;
    std::size_t body_cap = 0;
    std::string key;
    std::string organisation;
    request_fingerprint fingerprint = 0;
    importance level = importance::normal;
    std::uint32_t depth = 1;
    std::optional<idempotency_key> parsed_idempotency_key;
    time_point deadline;
    timer_id deadline_timer = 0;
    timer_id retry_timer = 0;

    attempt_allowance allowance{0};
    std::uint32_t attempt_limit = 1;
    std::uint32_t delivery_limit = 1;
    std::uint32_t attempts = 0;
    /// Attempts that an upstream may have received.
    std::uint32_t delivered_attempts = 0;
    /// Probability that the call is made on behalf of a retry.
    double repeat_share = 0;
    bool may_have_run = false;
    /// Whether a guard refused an attempt because its upstream had no free capacity.
    bool refused_for_capacity = false;
    /// Whether a guard refused an attempt because of the rate limit of its upstream.
    bool refused_by_rate_limit = false;
    bool finished = false;

    std::vector<std::string> failed_upstreams;
    std::string upstream;
    std::uint64_t sequence = 0;
    attempt_allowance::attempt_reservation retry_reservation;
    time_point sent_at;
    call_id active_call = 0;
    duration queue_wait{0};
    duration last_service_time{0};
    /// The upstream's own response to the last attempt. It is sent to the caller if no further attempt is made.
    std::optional<call_response> last_response;
};

} // namespace mulberry::detail
