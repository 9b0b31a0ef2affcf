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
    /// Attempts of one call by this node, the first included.
    std::uint32_t attempts_per_call = 3;
    /// Bounds of the exponential delay before full jitter.
    duration first_delay{10'000};
    duration longest_delay{250'000};
};

/// What is known about an attempt that failed.
struct failed_attempt {
    refusal failure;
    importance level = importance::normal;
    bool idempotent = false;
    /// The failure arose at the next hop, not below it.
    bool next_hop_failed = true;
    /// False if no upstream got the attempt, so that repeating it adds no load to the service.
    bool arrived = true;
    /// The answer was marked `retries_exhausted`.
    bool retries_exhausted = false;
    /// Attempts of this call so far, the failed one included.
    std::uint32_t attempts_made = 1;
    time_point deadline;
    /// How long an attempt usually takes; zero if unknown.
    duration expected_time{0};
};

struct retry_decision {
    /// Wait before the next attempt.
    duration delay{0};
};

/// Why a failed attempt is not repeated. The names from to_string are metric labels.
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

/// Decides whether the hop that sent a failed attempt sends another one.
class retry_policy {
public:
    retry_policy(retry_settings settings, timer_service& timers, random_source& random);

    /// Takes from the allowance and the budget only if the attempt is to be repeated.
    std::variant<retry_decision, retry_refusal> on_failure(const failed_attempt& attempt, attempt_allowance& allowance,
                                                           retry_budget& budget);

private:
    duration draw_delay(const failed_attempt& attempt);

    retry_settings m_settings;
    timer_service& m_timers;
    random_source& m_random;
};

} // namespace mulberry
