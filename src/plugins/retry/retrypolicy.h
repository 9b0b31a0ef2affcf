#pragma once

#include "libs/base/randomsource.h"
#include "libs/base/refusal.h"
#include "libs/base/timerservice.h"
#include "plugins/retry/attemptallowance.h"
#include "plugins/retry/retrybudget.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace mulberry {

struct retry_settings {
    /// Maximum number of attempts of one call by this node, including the first.
    std::uint32_t attempts_per_call = 3;
    /// Initial and maximum exponential delay, in microseconds. Full jitter is applied to it.
    duration initial_delay{10'000};
    duration max_delay{250'000};
};

/// Describes a failed attempt.
struct failed_attempt {
    refusal failure;
    importance level = importance::normal;
    bool idempotent = false;
    /// Whether the failure occurred at the next hop and not downstream of it.
    bool next_hop_failed = true;
    /// Whether an upstream may have received the attempt. If not, a retry adds no load to the service.
    bool may_have_been_received = true;
    /// Whether the response was marked with `retries_exhausted`.
    bool retries_exhausted = false;
    /// Number of attempts of this call so far, including the failed one.
    std::uint32_t attempts_made = 1;
    time_point deadline;
    /// Expected duration of an attempt; zero if unknown.
    duration expected_time{0};
};

struct retry_decision {
    /// Delay before the next attempt.
    duration delay{0};
};

/// Reason why a failed attempt is not retried. The names returned by `to_string` are metric labels.
enum class retry_refusal : std::uint8_t {
    not_retryable,
    may_have_run,
    not_next_hop,
    retries_exhausted,
    attempts_spent,
    allowance_spent,
    budget_spent,
    deadline_too_close,
    count // number of reasons, not a reason
};

std::string_view to_string(retry_refusal reason);

/// Decides whether the hop that sent a failed attempt retries it.
class retry_policy {
public:
    retry_policy(retry_settings settings, timer_service& timers, random_source& random);

    /// Takes from the allowance and the budget only if the attempt is to be retried.
    std::variant<retry_decision, retry_refusal> on_failure(const failed_attempt& attempt, attempt_allowance& allowance,
                                                           retry_budget& budget);

private:
    duration draw_delay(const failed_attempt& attempt);

    retry_settings m_settings;
    timer_service& m_timers;
    random_source& m_random;
};

} // namespace mulberry
