#pragma once

#include "plugins/calls/callanswer.h"
#include "plugins/calls/callcontext.h"
#include "plugins/calls/calltransport.h"
#include "plugins/entry/callerrequest.h"
#include "plugins/entry/matchedroute.h"
#include "plugins/once/idempotencykey.h"
#include "plugins/retry/attemptallowance.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberry::detail {

/// A request on its way from its caller to an upstream and back.
struct entry_request {
    std::uint64_t handle = 0;
    std::string request_id;
    caller_request input;
    std::function<void(caller_answer)> done;
    time_point received;
    /// Parent of a nested call; null for a caller's request.
    std::shared_ptr<call_context> parent;
    std::optional<attempt_allowance::loan> parent_loan;

    /// A call of the upstream beside this node that carries no context.
    bool is_upstream_call = false;
    /// Refusing a call of an upstream for load would waste the work that its parent has done already.
    bool may_be_throttled() const { return parent == nullptr && !is_upstream_call; }
    std::string service;
    std::string path;
    route matched;
    std::size_t body_cap = 0;
    std::string key;
    std::string organisation;
    importance level = importance::normal;
    std::uint32_t depth = 1;
    std::optional<idempotency_key> once_key;
    time_point deadline;
    timer_id deadline_timer = 0;
    timer_id retry_timer = 0;

    attempt_allowance allowance{0};
    std::uint32_t most_attempts = 1;
    std::uint32_t most_arrivals = 1;
    std::uint32_t attempts = 0;
    /// Attempts that an upstream may have got.
    std::uint32_t arrivals = 0;
    /// Probability that the call is made on behalf of a repeated request.
    double repeat_share = 0;
    bool may_have_run = false;
    /// An attempt was refused for lack of room.
    bool found_no_room = false;
    bool finished = false;

    std::vector<std::string> failed_upstreams;
    std::string upstream;
    std::uint64_t sequence = 0;
    attempt_allowance::loan loan;
    time_point sent;
    call_id in_flight = 0;
    duration queue_wait{0};
    duration last_service_time{0};
    /// The upstream's own answer to the last attempt, which the caller gets if there is no further attempt.
    std::optional<call_answer> last_answer;
};

} // namespace mulberry::detail
