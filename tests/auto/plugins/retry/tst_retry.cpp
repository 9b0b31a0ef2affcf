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
    attempt.failure = not_run(refusal_reason::queue_full);
    attempt.deadline = time_point{duration{1'000'000}};
    return attempt;
}

struct policy_case {
    std::string name;
    std::function<void(failed_attempt&)> change;
    std::optional<retry_refusal> refused;
    std::uint32_t allowance = 3;
    double budget = 10;
};

std::ostream& operator<<(std::ostream& out, const policy_case& each)
{
    return out << each.name;
}

const std::vector<policy_case> policy_cases{
    {"load refusal", [](failed_attempt&) {}, std::nullopt},
    {"key withdrawn", [](auto& each) { each.failure.reason = refusal_reason::key_unknown; },
     retry_refusal::not_retryable},
    {"deadline expired", [](auto& each) { each.failure.reason = refusal_reason::deadline_expired; },
     retry_refusal::not_retryable},
    {"lost connection, not idempotent",
     [](auto& each) {
         each.failure = {refusal_reason::connection_lost, outcome::unknown, duration{0}};
     },
     retry_refusal::may_have_run},
    {"ran and failed, not idempotent",
     [](auto& each) {
         each.failure = {refusal_reason::upstream_failed, outcome::ran, duration{0}};
     },
     retry_refusal::may_have_run},
    {"lost connection, idempotent",
     [](auto& each) {
         each.failure = {refusal_reason::connection_lost, outcome::unknown, duration{0}};
         each.idempotent = true;
     },
     std::nullopt},
    {"failure below the next hop", [](auto& each) { each.next_hop_failed = false; }, retry_refusal::not_next_hop},
    {"retried below", [](auto& each) { each.retries_exhausted = true; }, retry_refusal::retries_exhausted},
    {"third attempt failed", [](auto& each) { each.attempts_made = 3; }, retry_refusal::attempts_spent},
    {"deadline passed", [](auto& each) { each.deadline = time_point{}; }, retry_refusal::deadline_too_close},
    {"answer would come too late", [](auto& each) { each.expected_time = duration{2'000'000}; },
     retry_refusal::deadline_too_close},
    {"no allowance", [](auto&) {}, retry_refusal::allowance_spent, 0},
    {"no budget", [](auto&) {}, retry_refusal::budget_spent, 3, 0},
};

} // namespace

BOOST_DATA_TEST_CASE(policy_gives_its_reason, data::make(policy_cases), each)
{
    virtual_timer_service timers;
    seeded_random_source random(3);
    retry_policy policy({}, timers, random);
    earned_retry_budget budget({.floor_per_second = 0, .capacity = each.budget, .important_reserve = 0}, timers);
    attempt_allowance allowance(each.allowance);
    failed_attempt attempt = retryable();
    each.change(attempt);
    const auto verdict = policy.on_failure(attempt, allowance, budget);
    const auto* refused = std::get_if<retry_refusal>(&verdict);
    BOOST_REQUIRE((refused != nullptr) == each.refused.has_value());
    if (refused != nullptr)
        BOOST_TEST(to_string(*refused) == to_string(*each.refused));
    // A refused retry must cost nothing.
    BOOST_TEST(allowance.remaining() == each.allowance - (each.refused ? 0 : 1));
    BOOST_TEST(budget.available() == each.budget - (each.refused ? 0 : 1));
}

BOOST_AUTO_TEST_CASE(every_refusal_has_its_own_label)
{
    std::set<std::string_view> labels;
    for (std::size_t index = 0; index < static_cast<std::size_t>(retry_refusal::count); ++index)
        labels.insert(to_string(static_cast<retry_refusal>(index)));
    BOOST_TEST(labels.size() == static_cast<std::size_t>(retry_refusal::count));
    BOOST_TEST(!labels.contains("unknown"));
}

BOOST_AUTO_TEST_CASE(delays_are_spread_and_a_leaving_upstream_needs_none)
{
    virtual_timer_service timers;
    seeded_random_source random(3);
    retry_policy policy({}, timers, random);
    std::set<duration> delays;
    for (int turn = 0; turn < 50; ++turn) {
        attempt_allowance allowance(1);
        earned_retry_budget budget({}, timers);
        failed_attempt attempt = retryable();
        attempt.attempts_made = 2;
        const auto verdict = policy.on_failure(attempt, allowance, budget);
        delays.insert(std::get<retry_decision>(verdict).delay);
    }
    BOOST_TEST(delays.size() > 20U);
    BOOST_TEST(delays.rbegin()->count() <= 20'000);
    attempt_allowance allowance(1);
    earned_retry_budget budget({}, timers);
    failed_attempt attempt = retryable();
    attempt.failure = not_run(refusal_reason::leaving);
    BOOST_TEST(std::get<retry_decision>(policy.on_failure(attempt, allowance, budget)).delay.count() == 0);
}

BOOST_AUTO_TEST_CASE(budget_follows_successes_and_keeps_a_reserve)
{
    virtual_timer_service timers;
    earned_retry_budget budget(
        {.earned_per_success = 0.1, .floor_per_second = 1, .capacity = 10, .important_reserve = 0.5}, timers);
    int normal = 0;
    while (budget.take(importance::normal))
        ++normal;
    int critical = 0;
    while (budget.take(importance::critical))
        ++critical;
    BOOST_TEST(normal == 5);
    BOOST_TEST(critical == 5);
    for (int turn = 0; turn < 11; ++turn)
        budget.on_success();
    BOOST_TEST(budget.take(importance::critical));
    BOOST_TEST(!budget.take(importance::critical));
    timers.advance(duration{1'000'000});
    BOOST_TEST(budget.take(importance::critical));
}

BOOST_AUTO_TEST_CASE(children_share_no_attempts_and_a_lost_answer_loses_its_part)
{
    attempt_allowance allowance(5);
    const auto first = allowance.lend(2);
    const auto second = allowance.lend(9);
    BOOST_TEST(first.attempts == 2U);
    BOOST_TEST(second.attempts == 3U);
    BOOST_TEST(!allowance.take());
    BOOST_TEST(allowance.give_back(first.id, 1));
    // The answer to the second child is lost.
    BOOST_TEST(allowance.remaining() == 1U);
    BOOST_TEST(allowance.take());
    BOOST_TEST(!allowance.take());
}

// A tree of random depth and width, with retries and lost answers at every hop, must not exceed the first allowance.
BOOST_DATA_TEST_CASE(retries_of_a_tree_are_bounded, data::xrange(1, 9), seed)
{
    seeded_random_source random(static_cast<std::uint64_t>(seed));
    std::uint32_t retries = 0;
    const std::uint64_t before = violations();
    const std::function<std::uint32_t(std::uint32_t, int)> call = [&](std::uint32_t lent, int depth) {
        attempt_allowance allowance(lent);
        const std::uint64_t children = depth == 0 ? 0 : 1 + random.uniform(3);
        for (std::uint64_t child = 0; child < children; ++child) {
            do {
                const auto loan = allowance.lend(allowance.part_to_lend());
                const std::uint32_t unused = call(loan.attempts, depth - 1);
                if (random.uniform(3) > 0)
                    BOOST_TEST(allowance.give_back(loan.id, unused));
            } while (random.uniform(2) == 0 && allowance.take() && ++retries > 0);
        }
        return allowance.remaining();
    };
    const std::uint32_t left = call(4, 8);
    BOOST_TEST(retries + left <= 4U);
    BOOST_TEST(violations() == before);
}

// Deliberately wrong uses: the check must report them and nothing may be gained.
BOOST_AUTO_TEST_CASE(allowance_check_reports_violations)
{
    attempt_allowance allowance(4);
    const auto loan = allowance.lend(2);
    const std::uint64_t before = violations();
    BOOST_TEST(!allowance.give_back(loan.id, 3));
    BOOST_TEST(!allowance.give_back(loan.id + 1, 0));
    BOOST_TEST(allowance.give_back(loan.id, 2));
    BOOST_TEST(!allowance.give_back(loan.id, 2));
    BOOST_TEST(allowance.remaining() == 4U);
    BOOST_TEST(violations() == before + 3);
}

namespace {

struct window_fixture {
    /// Sends calls evenly and lets a part of them ask for one retry each; returns how many got it.
    int play(int calls, duration time, double wanted)
    {
        int granted = 0;
        double owed = 0;
        for (int call = 0; call < calls; ++call) {
            timers.advance(time / calls);
            budget.on_request(0);
            for (owed += wanted; owed >= 1; owed -= 1)
                granted += budget.take(importance::normal) ? 1 : 0;
        }
        return granted;
    }

    virtual_timer_service timers;
    windowed_retry_budget_settings settings{0.2, 5, std::chrono::seconds(10)};
    windowed_retry_budget budget{settings, timers};
};

} // namespace

// Guards against a service that gets more retries than the bound in any window, with steady and with changing load.
BOOST_FIXTURE_TEST_CASE(windowed_budget_keeps_the_bound, window_fixture)
{
    BOOST_TEST(play(1'000, std::chrono::seconds(10), 1) <= 205);
    BOOST_TEST(play(1'000, std::chrono::seconds(10), 1) <= 205);
    // The window before had more requests.
    BOOST_TEST(play(100, std::chrono::seconds(10), 5) <= 205);
    BOOST_TEST(play(100, std::chrono::seconds(10), 5) <= 25);
}

// Guards against a budget that is spent where it is needed most: a budget earned by successes gives nothing while all
// calls fail.
BOOST_FIXTURE_TEST_CASE(windowed_budget_can_be_used_while_calls_fail, window_fixture)
{
    play(1'000, std::chrono::seconds(10), 0);
    BOOST_TEST(play(500, std::chrono::seconds(5), 0.5) >= 190);
}

// Guards against retries below retries, which multiply.
BOOST_FIXTURE_TEST_CASE(calls_on_behalf_of_repeated_requests_use_the_budget, window_fixture)
{
    for (int call = 0; call < 1'000; ++call) {
        timers.advance(std::chrono::milliseconds(10));
        budget.on_request(0.3);
    }
    BOOST_TEST(!budget.take(importance::critical));
}

// Guards against an idle service whose first failure cannot be repeated.
BOOST_FIXTURE_TEST_CASE(windowed_budget_has_slack, window_fixture)
{
    for (int retry = 0; retry < 5; ++retry)
        BOOST_TEST(budget.take(importance::normal));
    BOOST_TEST(!budget.take(importance::normal));
    timers.advance(std::chrono::seconds(60));
    BOOST_TEST(budget.take(importance::normal));
}
