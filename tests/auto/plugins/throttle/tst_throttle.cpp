#include <boost/test/unit_test.hpp>

#include "fakes/virtualtimerservice.h"
#include "plugins/throttle/entrythrottle.h"

using namespace mulberry;

namespace {

constexpr duration step{10'000};

struct fixture {
    fixture() : throttle({}, timers, random) {}

    void observe_for(duration time, const load_report& report, std::string_view organisation = "a")
    {
        for (duration elapsed{0}; elapsed < time; elapsed += step) {
            timers.advance(step);
            throttle.observe("orders", "orders-1", organisation, report);
        }
    }
    double admitted_share(importance level, std::string_view organisation = "a")
    {
        return throttle.current_admitted_share("orders", level, organisation);
    }

    virtual_timer_service timers;
    seeded_random_source random{7};
    entry_throttle throttle;
};

const load_report overloaded{1.0F, duration{100'000}, importance::normal, 0.25F, 10};
const load_report underloaded{0.3F, duration{0}, importance::background, 1.0F, 10};

} // namespace

BOOST_AUTO_TEST_CASE(admits_all_requests_without_reports)
{
    fixture test;
    BOOST_TEST(!test.throttle.check("orders", importance::background, "a").has_value());
}

BOOST_AUTO_TEST_CASE(throttles_the_threshold_and_below)
{
    fixture test;
    test.observe_for(duration{2'000'000}, overloaded);
    BOOST_TEST(test.admitted_share(importance::critical) == 1.0);
    BOOST_TEST(test.admitted_share(importance::high) == 1.0);
    BOOST_TEST(test.admitted_share(importance::normal) < 0.3);
    BOOST_TEST(test.admitted_share(importance::background) < 0.1);
}

// Guards against throttling an organisation within its fair share because of another one.
BOOST_AUTO_TEST_CASE(throttles_only_the_organisation_that_is_shed)
{
    fixture test;
    test.observe_for(duration{2'000'000}, overloaded, "flood");
    test.observe_for(step, underloaded, "small");
    BOOST_TEST(test.admitted_share(importance::background, "small") == 1.0);
    BOOST_TEST(test.admitted_share(importance::normal, "flood") < 1.0);
    BOOST_TEST(test.throttle.current_admitted_share("stores", importance::normal, "flood") == 1.0);
}

BOOST_AUTO_TEST_CASE(refuses_the_computed_share_with_jittered_retry_after)
{
    fixture test;
    test.observe_for(duration{2'000'000}, overloaded);
    const double admitted_share = test.admitted_share(importance::normal);
    int admitted_count = 0;
    duration shortest = duration::max();
    duration longest{0};
    for (int turn = 0; turn < 2'000; ++turn) {
        const auto refused = test.throttle.check("orders", importance::normal, "a");
        if (!refused) {
            ++admitted_count;
            continue;
        }
        BOOST_CHECK(refused->reason == refusal_reason::entry_throttled);
        BOOST_CHECK(refused->result == outcome::not_run);
        shortest = std::min(shortest, refused->retry_after);
        longest = std::max(longest, refused->retry_after);
    }
    BOOST_TEST(std::abs(admitted_count / 2'000.0 - admitted_share) < 0.05);
    BOOST_TEST(shortest.count() < 600'000);
    BOOST_TEST(longest.count() > 1'400'000);
}

// Guards against a throttle that keeps refusing requests when it no longer receives reports.
BOOST_AUTO_TEST_CASE(recovers_without_reports)
{
    fixture test;
    test.observe_for(duration{10'000'000}, overloaded);
    BOOST_TEST(test.admitted_share(importance::background) == throttle_settings{}.min_admitted_share);
    test.timers.advance(duration{30'000'000});
    BOOST_TEST(test.admitted_share(importance::background) == 1.0);
}

BOOST_AUTO_TEST_CASE(recovers_fast_when_the_service_is_idle)
{
    fixture test;
    test.observe_for(duration{10'000'000}, overloaded);
    test.observe_for(duration{2'500'000}, underloaded);
    BOOST_TEST(test.admitted_share(importance::background) == 1.0);
}
