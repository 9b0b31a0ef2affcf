#include "plugins/retry/retrypolicy.h"

#include <algorithm>

namespace mulberry {

namespace {

enum class retry_timing : std::uint8_t { never, immediate, delayed };

/// A refusal that depends on the request itself would be the same at every upstream, so it is not retried. A refusal
/// that concerns a single upstream is retried immediately. A refusal due to load is retried after a delay.
retry_timing retry_timing_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::leaving:
    case refusal_reason::draining:
    case refusal_reason::upstream_unreachable:
    case refusal_reason::connection_lost:
    case refusal_reason::upstream_limited:
        return retry_timing::immediate;
    case refusal_reason::request_isolated:
    case refusal_reason::queue_full:
    case refusal_reason::queue_delay:
    case refusal_reason::importance_shed:
    case refusal_reason::upstream_failed:
    case refusal_reason::upstream_shed:
    case refusal_reason::no_upstream:
        return retry_timing::delayed;
    default:
        return retry_timing::never;
    }
}

} // namespace

std::string_view to_string(retry_refusal reason)
{
    switch (reason) {
    case retry_refusal::not_retryable:
        return "not_retryable";
    case retry_refusal::may_have_run:
        return "may_have_run";
    case retry_refusal::not_next_hop:
        return "not_next_hop";
    case retry_refusal::retries_exhausted:
        return "retries_exhausted";
    case retry_refusal::attempts_spent:
        return "attempts_spent";
    case retry_refusal::allowance_spent:
        return "allowance_spent";
    case retry_refusal::budget_spent:
        return "budget_spent";
    case retry_refusal::deadline_too_close:
        return "deadline_too_close";
    case retry_refusal::count:
        break;
    }
    return "unknown";
}

retry_policy::retry_policy(retry_settings settings, timer_service& timers, random_source& random)
    : m_settings(settings), m_timers(timers), m_random(random)
{
}

std::variant<retry_decision, retry_refusal> retry_policy::on_failure(const failed_attempt& attempt,
                                                                     attempt_allowance& allowance, retry_budget& budget)
{
    if (retry_timing_of(attempt.failure.reason) == retry_timing::never)
        return retry_refusal::not_retryable;
    if (!attempt.idempotent && attempt.failure.result != outcome::not_run)
        return retry_refusal::may_have_run;
    if (attempt.retries_exhausted)
        return retry_refusal::retries_exhausted;
    if (!attempt.next_hop_failed)
        return retry_refusal::not_next_hop;
    if (attempt.attempts_made >= m_settings.attempts_per_call)
        return retry_refusal::attempts_spent;
    const duration delay = draw_delay(attempt);
    if (m_timers.now() + delay + attempt.expected_time >= attempt.deadline)
        return retry_refusal::deadline_too_close;
    if (allowance.remaining() == 0)
        return retry_refusal::allowance_spent;
    if (attempt.may_have_been_received && !budget.take(attempt.level))
        return retry_refusal::budget_spent;
    if (!allowance.take())
        return retry_refusal::allowance_spent;
    return retry_decision{delay};
}

duration retry_policy::draw_delay(const failed_attempt& attempt)
{
    if (retry_timing_of(attempt.failure.reason) == retry_timing::immediate && attempt.attempts_made <= 1)
        return duration{0};
    // Limits the shift; more doublings would exceed any reasonable `max_delay`.
    const std::uint32_t doublings = std::min(attempt.attempts_made - std::min(attempt.attempts_made, 1U), 20U);
    const duration delay_limit = std::min(m_settings.initial_delay * (1 << doublings), m_settings.max_delay);
    return duration{static_cast<std::int64_t>(m_random.uniform(static_cast<std::uint64_t>(delay_limit.count()) + 1))};
}

} // namespace mulberry
