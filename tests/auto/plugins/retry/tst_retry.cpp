#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fakes/virtualtimerservice.h"
#include "libs/base/invariant.h"
#include "plugins/retry/earnedretrybudget.h"
#include "plugins/retry/retrypolicy.h"
#include "plugins/retry/windowedretrybudget.h"

#include <functional>
#include <set>
#include <vector>

using namespace mulberry;

namespace data = boost::unit_test::data;

namespace {

std::uint64_t violations()
{
    return invariant_monitor::instance().violations(invariant::attempts_bounded);
}

failed_attempt retryable()
{
    failed_attempt attempt;
    attempt.failure = not_run_refusal(refusal_reason::queue_full);
    attempt.deadline = time_point{duration{1'000'000}};
    return attempt;
}

struct policy_case {
    std::string name;
    std::function<void(failed_attempt&)> modify;
    std::optional<retry_refusal> refused;
    std::uint32_t allowance = 3;
    double budget = 10;
};

std::ostream& operator<<(std::ostream& out, const policy_case& test)
{
    return out << test.name;
}

const std::vector<policy_case> policy_cases{
    {"load refusal", [](failed_attempt&) {}, std::nullopt},
    {"key withdrawn", [](auto& test) { test.failure.reason = refusal_reason::key_unknown; },
     retry_refusal::not_retryable},
    {"deadline expired", [](auto& test) { test.failure.reason = refusal_reason::deadline_expired; },
     retry_refusal::not_retryable},
    {"lost connection, not idempotent",
     [](auto& test) {
         test.failure = {refusal_reason::connection_lost, outcome::unknown, duration{0}};
     },
     retry_refusal::may_have_run},
    {"ran and failed, not idempotent",
     [](auto& test) {
         test.failure = {refusal_reason::upstream_failed, outcome::ran, duration{0}};
     },
     retry_refusal::may_have_run},
    {"lost connection, idempotent",
     [](auto& test) {
         test.failure = {refusal_reason::connection_lost, outcome::unknown, duration{0}};
         test.idempotent = true;
     },
     std::nullopt},
    {"failure downstream of the next hop", [](auto& test) { test.next_hop_failed = false; },
     retry_refusal::not_next_hop},
    {"retries exhausted downstream", [](auto& test) { test.retries_exhausted = true; },
     retry_refusal::retries_exhausted},
    {"third attempt failed", [](auto& test) { test.attempts_made = 3; }, retry_refusal::attempts_spent},
    {"deadline passed", [](auto& test) { test.deadline = time_point{}; }, retry_refusal::deadline_too_close},
    {"response would come too late", [](auto& test) { test.expected_time = duration{2'000'000}; },
     retry_refusal::deadline_too_close},
    {"no allowance", [](auto&) {}, retry_refusal::allowance_spent, 0},
    {"no budget", [](auto&) {}, retry_refusal::budget_spent, 3, 0},
};

} // namespace

BOOST_DATA_TEST_CASE(policy_returns_the_expected_reason, data::make(policy_cases), test)
{
    virtual_timer_service timers;
    seeded_random_source random(3);
    retry_policy policy({}, timers, random);
    earned_retry_budget budget({.base_tokens_per_second = 0, .capacity = test.budget, .reserved_fraction = 0}, timers);
    attempt_allowance allowance(test.allowance);
    failed_attempt attempt = retryable();
    test.modify(attempt);
    const auto decision = policy.on_failure(attempt, allowance, budget);
    const auto* refused = std::get_if<retry_refusal>(&decision);
    BOOST_REQUIRE((refused != nullptr) == test.refused.has_value());
    if (refused != nullptr)
        BOOST_TEST(to_string(*refused) == to_string(*test.refused));
    // A refused retry must take nothing from the allowance and the budget.
    BOOST_TEST(allowance.remaining() == test.allowance - (test.refused ? 0 : 1));
    BOOST_TEST(budget.available() == test.budget - (test.refused ? 0 : 1));
}

BOOST_AUTO_TEST_CASE(every_refusal_has_its_own_label)
{
    std::set<std::string_view> labels;
    for (std::size_t index = 0; index < static_cast<std::size_t>(retry_refusal::count); ++index)
        labels.insert(to_string(static_cast<retry_refusal>(index)));
    BOOST_TEST(labels.size() == static_cast<std::size_t>(retry_refusal::count));
    BOOST_TEST(!labels.contains("unknown"));
}

BOOST_AUTO_TEST_CASE(delays_have_jitter_and_a_leaving_upstream_needs_none)
{
    virtual_timer_service timers;
    seeded_random_source random(3);
    retry_policy policy({}, timers, random);
    std::set<duration> delays;
    for (int round = 0; round < 50; ++round) {
        attempt_allowance allowance(1);
        earned_retry_budget budget({}, timers);
        failed_attempt attempt = retryable();
        attempt.attempts_made = 2;
        const auto decision = policy.on_failure(attempt, allowance, budget);
        delays.insert(std::get<retry_decision>(decision).delay);
    }
    BOOST_TEST(delays.size() > 20U);
    BOOST_TEST(delays.rbegin()->count() <= 20'000);
    attempt_allowance allowance(1);
    earned_retry_budget budget({}, timers);
    failed_attempt attempt = retryable();
    attempt.failure = not_run_refusal(refusal_reason::leaving);
    BOOST_TEST(std::get<retry_decision>(policy.on_failure(attempt, allowance, budget)).delay.count() == 0);
}

BOOST_AUTO_TEST_CASE(budget_follows_successes_and_reserves_tokens)
{
    virtual_timer_service timers;
    earned_retry_budget budget(
        {.tokens_per_success = 0.1, .base_tokens_per_second = 1, .capacity = 10, .reserved_fraction = 0.5}, timers);
    int normal = 0;
    while (budget.take(importance::normal))
        ++normal;
    int critical = 0;
    while (budget.take(importance::critical))
        ++critical;
    BOOST_TEST(normal == 5);
    BOOST_TEST(critical == 5);
    for (int round = 0; round < 11; ++round)
        budget.on_success();
    BOOST_TEST(budget.take(importance::critical));
    BOOST_TEST(!budget.take(importance::critical));
    timers.advance(duration{1'000'000});
    BOOST_TEST(budget.take(importance::critical));
}

BOOST_AUTO_TEST_CASE(reservations_are_distinct_and_a_lost_response_loses_its_reservation)
{
    attempt_allowance allowance(5);
    const auto first = allowance.reserve_attempts(2);
    const auto second = allowance.reserve_attempts(9);
    BOOST_TEST(first.attempts == 2U);
    BOOST_TEST(second.attempts == 3U);
    BOOST_TEST(!allowance.take());
    BOOST_TEST(allowance.return_unused(first.id, 1));
    // The response to the second call is lost.
    BOOST_TEST(allowance.remaining() == 1U);
    BOOST_TEST(allowance.take());
    BOOST_TEST(!allowance.take());
}

// A call tree of random width, with retries and lost responses at every hop, must not exceed the initial allowance.
BOOST_DATA_TEST_CASE(retries_of_a_call_tree_are_limited, data::xrange(1, 9), seed)
{
    seeded_random_source random(static_cast<std::uint64_t>(seed));
    std::uint32_t retries = 0;
    const std::uint64_t violations_before = violations();
    const std::function<std::uint32_t(std::uint32_t, int)> call = [&](std::uint32_t attempts, int depth) {
        attempt_allowance allowance(attempts);
        const std::uint64_t children = depth == 0 ? 0 : 1 + random.uniform(3);
        for (std::uint64_t child = 0; child < children; ++child) {
            do {
                const auto reservation = allowance.reserve_attempts(allowance.default_reservation());
                const std::uint32_t unused = call(reservation.attempts, depth - 1);
                if (random.uniform(3) > 0)
                    BOOST_TEST(allowance.return_unused(reservation.id, unused));
            } while (random.uniform(2) == 0 && allowance.take() && ++retries > 0);
        }
        return allowance.remaining();
    };
    const std::uint32_t remaining_attempts = call(4, 8);
    BOOST_TEST(retries + remaining_attempts <= 4U);
    BOOST_TEST(violations() == violations_before);
}

// The invariant must report every incorrect return of a reservation, and the allowance must not grow.
BOOST_AUTO_TEST_CASE(incorrect_returns_violate_the_invariant)
{
    attempt_allowance allowance(4);
    const auto reservation = allowance.reserve_attempts(2);
    const std::uint64_t violations_before = violations();
    BOOST_TEST(!allowance.return_unused(reservation.id, 3));
    BOOST_TEST(!allowance.return_unused(reservation.id + 1, 0));
    BOOST_TEST(allowance.return_unused(reservation.id, 2));
    BOOST_TEST(!allowance.return_unused(reservation.id, 2));
    BOOST_TEST(allowance.remaining() == 4U);
    BOOST_TEST(violations() == violations_before + 3);
}

namespace {

struct windowed_budget_fixture {
    /// Sends calls at even intervals and requests the given number of retries per call. Returns the number of retries
    /// that the budget allowed.
    int send_calls(int calls, duration time, double retries_per_call)
    {
        int allowed_retries = 0;
        double pending_retries = 0;
        for (int call = 0; call < calls; ++call) {
            timers.advance(time / calls);
            budget.on_request(0);
            for (pending_retries += retries_per_call; pending_retries >= 1; pending_retries -= 1)
                allowed_retries += budget.take(importance::normal) ? 1 : 0;
        }
        return allowed_retries;
    }

    virtual_timer_service timers;
    windowed_retry_budget_settings settings{0.2, 5, std::chrono::seconds(10)};
    windowed_retry_budget budget{settings, timers};
};

} // namespace

// A service must not get more retries than the limit in any window, with constant and with changing load.
BOOST_FIXTURE_TEST_CASE(windowed_budget_limits_retries, windowed_budget_fixture)
{
    BOOST_TEST(send_calls(1'000, std::chrono::seconds(10), 1) <= 205);
    BOOST_TEST(send_calls(1'000, std::chrono::seconds(10), 1) <= 205);
    // The previous window had more requests.
    BOOST_TEST(send_calls(100, std::chrono::seconds(10), 5) <= 205);
    BOOST_TEST(send_calls(100, std::chrono::seconds(10), 5) <= 25);
}

// Retries must remain possible while all calls fail. A budget that is earned by successes would be exhausted then.
BOOST_FIXTURE_TEST_CASE(windowed_budget_can_be_used_while_calls_fail, windowed_budget_fixture)
{
    send_calls(1'000, std::chrono::seconds(10), 0);
    BOOST_TEST(send_calls(500, std::chrono::seconds(5), 0.5) >= 190);
}

// Calls on behalf of retries must use the budget; otherwise retries at several hops multiply.
BOOST_FIXTURE_TEST_CASE(calls_on_behalf_of_retries_use_the_budget, windowed_budget_fixture)
{
    for (int call = 0; call < 1'000; ++call) {
        timers.advance(std::chrono::milliseconds(10));
        budget.on_request(0.3);
    }
    BOOST_TEST(!budget.take(importance::critical));
}

// The first failure of a call to an idle service must be retried.
BOOST_FIXTURE_TEST_CASE(windowed_budget_has_slack, windowed_budget_fixture)
{
    for (int retry = 0; retry < 5; ++retry)
        BOOST_TEST(budget.take(importance::normal));
    BOOST_TEST(!budget.take(importance::normal));
    timers.advance(std::chrono::seconds(60));
    BOOST_TEST(budget.take(importance::normal));
}
