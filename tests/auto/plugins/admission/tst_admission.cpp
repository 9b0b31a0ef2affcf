#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fakes/virtualtimerservice.h"
#include "libs/base/invariant.h"
#include "libs/base/randomsource.h"
#include "plugins/admission/admissionqueue.h"
#include "plugins/admission/concurrencylimiter.h"
#include "plugins/admission/importanceordercheck.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace mulberry;

namespace data = boost::unit_test::data;

namespace {

constexpr duration long_deadline{60'000'000};

class decision_recorder final : public admission_listener {
public:
    void on_admitted(const attempt_id& id) override { admitted_ids.push_back(id.sequence); }
    void on_refused(const attempt_id& id, const refusal& details) override { refusals.emplace(id.sequence, details); }

    std::vector<std::uint64_t> admitted_ids;
    std::map<std::uint64_t, refusal> refusals;
};

attempt_id id_of(std::uint64_t sequence)
{
    return {{"sender", 1}, sequence};
}

struct fixture {
    explicit fixture(admission_settings settings = {.slots = 1, .queue_limit = 4}) : queue(settings, timers, decisions)
    {
    }

    void offer(std::uint64_t sequence, importance level, std::string organisation, duration remaining = long_deadline)
    {
        queue.offer({id_of(sequence), level, std::move(organisation), timers.now() + remaining});
    }
    /// Finishes the request that was admitted last. Returns the request that is admitted next, or 0 if there is none.
    std::uint64_t next(duration service_time = duration{1'000}, finish_result result = finish_result::succeeded)
    {
        const std::size_t before = decisions.admitted_ids.size();
        queue.finished(id_of(decisions.admitted_ids.back()), service_time, result);
        return decisions.admitted_ids.size() > before ? decisions.admitted_ids.back() : 0;
    }

    virtual_timer_service timers;
    decision_recorder decisions;
    admission_queue queue;
};

std::uint64_t order_violations()
{
    return invariant_monitor::instance().violations(invariant::importance_order);
}

} // namespace

BOOST_AUTO_TEST_CASE(more_important_requests_start_first)
{
    fixture test;
    test.offer(1, importance::normal, "a");
    test.offer(2, importance::background, "a");
    test.offer(3, importance::critical, "a");
    test.offer(4, importance::high, "a");
    BOOST_TEST(test.next() == 3U);
    BOOST_TEST(test.next() == 4U);
    BOOST_TEST(test.next() == 2U);
    BOOST_TEST(test.next() == 0U);
}

// Guards against a long queue of one organisation delaying the requests of others.
BOOST_AUTO_TEST_CASE(organisations_alternate_whatever_their_queue_length)
{
    fixture test({.slots = 1, .queue_limit = 50});
    test.offer(100, importance::normal, "flood");
    for (std::uint64_t each = 1; each <= 20; ++each)
        test.offer(each, importance::normal, "flood");
    test.offer(31, importance::normal, "small");
    test.offer(32, importance::normal, "small");
    std::vector<std::uint64_t> admitted_first(4);
    std::ranges::generate(admitted_first, [&] { return test.next(); });
    BOOST_TEST(std::ranges::count(admitted_first, 31U) == 1);
    BOOST_TEST(std::ranges::count(admitted_first, 32U) == 1);
}

namespace {

struct eviction_case {
    std::string name;
    importance waiting;
    importance newcomer;
    std::uint64_t victim;
    refusal_reason reason;
};

std::ostream& operator<<(std::ostream& out, const eviction_case& each)
{
    return out << each.name;
}

const std::vector<eviction_case> eviction_cases{
    {"less important newcomer", importance::high, importance::normal, 9, refusal_reason::importance_shed},
    {"more important newcomer", importance::normal, importance::high, 4, refusal_reason::importance_shed},
    {"equal newcomer of a small organisation", importance::normal, importance::normal, 4, refusal_reason::queue_full},
};

} // namespace

// Guards against shedding the wrong request from a full queue: it must be one of the lowest importance, and among those
// one of the organisation with the longest queue.
BOOST_DATA_TEST_CASE(full_queue_sheds_the_right_request, data::make(eviction_cases), each)
{
    fixture test({.slots = 1, .queue_limit = 3});
    test.offer(1, importance::normal, "flood");
    for (std::uint64_t sequence = 2; sequence <= 4; ++sequence)
        test.offer(sequence, each.waiting, "flood");
    test.offer(9, each.newcomer, "small");
    BOOST_REQUIRE(test.decisions.refusals.size() == 1U);
    BOOST_TEST(test.decisions.refusals.begin()->first == each.victim);
    BOOST_CHECK(test.decisions.refusals.begin()->second.reason == each.reason);
    BOOST_CHECK(test.decisions.refusals.begin()->second.result == outcome::not_run);
}

BOOST_AUTO_TEST_CASE(refuses_requests_that_cannot_meet_their_deadline)
{
    fixture test;
    test.offer(1, importance::normal, "a");
    test.timers.advance(duration{50'000});
    test.next(duration{50'000});
    test.offer(2, importance::normal, "a");
    for (std::uint64_t each = 3; each < 40; ++each) {
        test.timers.advance(duration{50'000});
        test.offer(each, importance::normal, "a");
        test.next(duration{50'000});
    }
    test.offer(50, importance::normal, "a", duration{20'000});
    BOOST_REQUIRE(test.decisions.refusals.contains(50));
    BOOST_CHECK(test.decisions.refusals.at(50).reason == refusal_reason::deadline_unreachable);
    test.offer(51, importance::normal, "a", duration{0});
    BOOST_CHECK(test.decisions.refusals.at(51).reason == refusal_reason::deadline_expired);
    // The deadline passes while the request waits.
    test.offer(52, importance::normal, "a", duration{120'000});
    test.timers.advance(duration{90'000});
    test.next(duration{50'000});
    BOOST_CHECK(test.decisions.refusals.contains(52));
}

// Guards against a request that spends all of its time in one queue while another upstream has free capacity.
BOOST_AUTO_TEST_CASE(refuses_requests_with_a_long_expected_wait)
{
    fixture test({.slots = 1, .queue_limit = 4, .max_wait_share = 0.3});
    test.offer(1, importance::normal, "a");
    for (std::uint64_t each = 2; each < 40; ++each) {
        test.timers.advance(duration{50'000});
        test.offer(each, importance::normal, "a");
        test.next(duration{50'000});
    }
    // One request runs and one waits, so the expected wait of the next one is 50 ms.
    test.offer(50, importance::normal, "a");
    test.offer(51, importance::normal, "a", duration{150'000});
    BOOST_REQUIRE(test.decisions.refusals.contains(51));
    BOOST_CHECK(test.decisions.refusals.at(51).reason == refusal_reason::queue_delay);
    BOOST_CHECK(test.decisions.refusals.at(51).result == outcome::not_run);
    test.offer(52, importance::normal, "a", duration{400'000});
    BOOST_TEST(!test.decisions.refusals.contains(52));
}

// Guards against a service time estimate that refuses all requests indefinitely after a stall.
BOOST_AUTO_TEST_CASE(estimate_recovers_after_slow_requests)
{
    fixture test;
    for (std::uint64_t each = 1; each < 50; ++each) {
        test.offer(each, importance::normal, "a");
        test.timers.advance(duration{2'000'000});
        test.next(duration{2'000'000});
    }
    test.timers.advance(duration{10'000'000});
    test.offer(99, importance::normal, "a", duration{100'000});
    BOOST_TEST(test.decisions.admitted_ids.back() == 99U);
}

BOOST_AUTO_TEST_CASE(standing_queue_is_shed_least_important_first)
{
    fixture test({.slots = 1, .queue_limit = 10});
    test.offer(1, importance::normal, "a");
    test.offer(2, importance::high, "a");
    test.offer(3, importance::background, "a");
    test.timers.advance(duration{99'000});
    BOOST_TEST(test.decisions.refusals.empty());
    test.timers.advance(duration{2'000});
    BOOST_CHECK(test.decisions.refusals.at(2).reason == refusal_reason::queue_delay);
    BOOST_TEST(test.decisions.refusals.contains(3));
    BOOST_TEST(order_violations() == 0U);
}

// Guards against running a cancelled request, which its sender reports as "not run".
BOOST_AUTO_TEST_CASE(cancelled_request_never_starts)
{
    fixture test;
    test.offer(1, importance::normal, "a");
    test.offer(2, importance::normal, "a");
    BOOST_TEST(!test.queue.cancel(id_of(1)));
    BOOST_TEST(test.queue.cancel(id_of(2)));
    BOOST_TEST(!test.queue.cancel(id_of(2)));
    BOOST_TEST(test.next() == 0U);
    BOOST_TEST(test.decisions.refusals.empty());
}

BOOST_AUTO_TEST_CASE(duplicate_request_is_refused_as_unknown)
{
    fixture test;
    test.offer(1, importance::normal, "a");
    test.offer(1, importance::normal, "a");
    BOOST_CHECK(test.decisions.refusals.at(1).reason == refusal_reason::duplicate_attempt);
    BOOST_CHECK(test.decisions.refusals.at(1).result == outcome::unknown);
    BOOST_TEST(test.queue.running() == 1U);
}

BOOST_AUTO_TEST_CASE(leaving_queue_admits_waiting_requests_and_refuses_new_ones)
{
    fixture test;
    test.offer(1, importance::normal, "a");
    test.offer(2, importance::normal, "a");
    test.queue.begin_leaving();
    test.offer(3, importance::critical, "a");
    BOOST_CHECK(test.decisions.refusals.at(3).reason == refusal_reason::leaving);
    BOOST_TEST(test.next() == 2U);
}

BOOST_AUTO_TEST_CASE(changed_slots_take_effect)
{
    fixture test;
    for (std::uint64_t each = 1; each <= 4; ++each)
        test.offer(each, importance::normal, "a");
    test.queue.set_slots(3);
    BOOST_TEST(test.queue.running() == 3U);
    test.queue.set_slots(0);
    BOOST_TEST(test.queue.concurrency_limit() == 1U);
}

namespace {

struct limit_case {
    std::string name;
    duration later_service_time;
    finish_result later_result;
    std::uint32_t min_limit;
    std::uint32_t max_limit;
};

std::ostream& operator<<(std::ostream& out, const limit_case& each)
{
    return out << each.name;
}

const std::vector<limit_case> limit_cases{
    {"unchanged", duration{50'000}, finish_result::succeeded, 100, 100},
    {"within the tolerance", duration{80'000}, finish_result::succeeded, 100, 100},
    {"slower", duration{500'000}, finish_result::succeeded, 1, 50},
    {"timeouts", duration{1'000'000}, finish_result::timed_out, 1, 50},
    {"cancelled by callers", duration{1'000'000}, finish_result::cancelled, 100, 100},
};

} // namespace

BOOST_DATA_TEST_CASE(limit_follows_the_service_time, data::make(limit_cases), each)
{
    detail::concurrency_limiter limiter(100, true, time_point{});
    time_point now;
    const auto finish_requests = [&](duration service_time, finish_result result, int count) {
        for (int turn = 0; turn < count; ++turn) {
            now += duration{2'000};
            limiter.on_finish(now, service_time, result, true);
        }
    };
    finish_requests(duration{50'000}, finish_result::succeeded, 1'000);
    finish_requests(each.later_service_time, each.later_result, 1'000);
    BOOST_TEST(limiter.limit() >= each.min_limit);
    BOOST_TEST(limiter.limit() <= each.max_limit);
    finish_requests(duration{50'000}, finish_result::succeeded, 500);
    BOOST_TEST(limiter.limit() == 100U);
}

BOOST_AUTO_TEST_CASE(report_contains_the_shedding_of_its_organisation_only)
{
    fixture test({.slots = 1, .queue_limit = 4});
    test.offer(1, importance::normal, "small");
    for (std::uint64_t each = 2; each < 60; ++each)
        test.offer(each, importance::normal, "flood");
    const load_report flood = test.queue.report("flood");
    BOOST_CHECK(flood.threshold == importance::normal);
    BOOST_TEST(flood.admitted_share < 0.2F);
    BOOST_TEST(test.queue.report("small").admitted_share == 1.0F);
    test.timers.advance(duration{2'000'000});
    BOOST_TEST(test.queue.report("flood").admitted_share == 1.0F);
}

BOOST_AUTO_TEST_CASE(merged_report_is_the_stricter_one)
{
    const load_report own{0.5F, duration{1}, importance::background, 0.5F, 10};
    const load_report downstream{0.2F, duration{5}, importance::high, 0.9F, 99};
    const load_report merged = merge_load_reports(own, downstream);
    BOOST_CHECK((merged == load_report{0.5F, duration{5}, importance::high, 0.9F, 10}));
    BOOST_TEST(admitted_share_of(merged, importance::normal) == 0.0F);
    BOOST_TEST(admitted_share_of(merged, importance::critical) == 1.0F);
}

// Guards against requests without exactly one decision, more running requests than slots, and violations of the order
// of importance, under random offers and completions.
BOOST_DATA_TEST_CASE(each_request_is_decided_once_under_random_load, data::xrange(1, 6), seed)
{
    fixture test({.slots = 8, .queue_limit = 10});
    seeded_random_source random(static_cast<std::uint64_t>(seed));
    std::map<std::uint64_t, time_point> started;
    std::uint64_t sequence = 0;
    for (int step = 0; step < 4'000; ++step) {
        test.timers.advance(duration{static_cast<std::int64_t>(random.uniform(3'000))});
        test.offer(++sequence, static_cast<importance>(random.uniform(4)), fmt::format("o{}", random.uniform(4)),
                   duration{static_cast<std::int64_t>(random.uniform(500'000))});
        const auto& admitted_ids = test.decisions.admitted_ids;
        if (!admitted_ids.empty() && random.uniform(3) == 0) {
            test.queue.finished(id_of(admitted_ids[random.uniform(admitted_ids.size())]), duration{20'000},
                                static_cast<finish_result>(random.uniform(4)));
        }
    }
    BOOST_TEST(test.decisions.admitted_ids.size() + test.decisions.refusals.size() + test.queue.waiting() == sequence);
    BOOST_TEST(test.queue.running() <= 8U);
    BOOST_TEST(order_violations() == 0U);
}

// Guards against a check that misses violations: it is called with wrong sequences and must report them.
BOOST_AUTO_TEST_CASE(order_check_reports_violations)
{
    const std::uint64_t before = order_violations();
    detail::importance_order_check check;
    check.on_enqueued(importance::high);
    BOOST_TEST(!check.check_admission(importance::normal));
    BOOST_TEST(check.check_admission(importance::high));
    BOOST_TEST(check.check_shedding(importance::normal));
    BOOST_TEST(!check.check_shedding(importance::critical));
    check.on_removed(importance::high);
    BOOST_TEST(check.check_admission(importance::background));
    BOOST_TEST(order_violations() == before + 2);
}

// Guards against less important requests that use up the rate of a limited upstream.
BOOST_AUTO_TEST_CASE(rate_limit_admits_important_requests_first)
{
    fixture limited({.slots = 10, .learn_limit = false});
    limited.queue.set_rate_limit(10);
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence)
        limited.offer(sequence, importance::background, "kiosk");
    limited.offer(4, importance::critical, "kiosk");
    limited.timers.advance(duration{150'000});
    BOOST_TEST(limited.decisions.admitted_ids == (std::vector<std::uint64_t>{1, 4}), boost::test_tools::per_element());
}

// Guards against a wait for a limited upstream although another one may be free, and against another reason than the
// limit in the account.
BOOST_AUTO_TEST_CASE(excess_over_the_rate_limit_is_refused_at_once)
{
    fixture limited({.slots = 10, .learn_limit = false});
    limited.queue.set_rate_limit(10);
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence)
        limited.offer(sequence, importance::normal, "kiosk");
    BOOST_TEST(limited.decisions.refusals.size() == 2U);
    for (const auto& [sequence, details] : limited.decisions.refusals)
        BOOST_TEST((details.reason == refusal_reason::upstream_limited && details.result == outcome::not_run));
    limited.timers.advance(duration{250'000});
    BOOST_TEST(limited.decisions.admitted_ids.size() == 3U);
}
