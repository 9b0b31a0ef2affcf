#include "plugins/guard/crashdetector.h"

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

struct detector_fixture {
    detail::crash_detector detector;
    time_point start{1h};

    std::size_t calls_of_crash(std::optional<time_point> oldest_running = std::nullopt)
    {
        return detector.on_upstream_ended(oldest_running).size();
    }
};

} // namespace

// Guards against a crash that goes unnoticed, or is counted again for each refused connection.
BOOST_FIXTURE_TEST_CASE(crash_is_recognised_once, detector_fixture)
{
    detector.on_connection_lost(start, 1);
    detector.on_connection_lost(start + 2ms, 2);
    BOOST_TEST(calls_of_crash(start + 3ms) == 2U);
    BOOST_TEST(calls_of_crash() == 0U);
}

// Guards against a lost response, a reset connection or a refused one that is taken for a crash.
BOOST_FIXTURE_TEST_CASE(single_lost_connection_is_no_crash, detector_fixture)
{
    BOOST_TEST(calls_of_crash() == 0U);
    detector.on_connection_lost(start, 1);
    BOOST_TEST(calls_of_crash(start - 1ms) == 0U);
    detector.on_response(start + 1ms);
    BOOST_TEST(calls_of_crash() == 0U);
}

// Guards against a response to a call from before the loss that hides the crash, and against calls that were lost long
// before it.
BOOST_FIXTURE_TEST_CASE(only_calls_of_the_crash_are_returned, detector_fixture)
{
    detector.on_connection_lost(start - 2s, 1);
    detector.on_connection_lost(start, 2);
    detector.on_response(start - 1ms);
    const auto calls = detector.on_upstream_ended(std::nullopt);
    BOOST_REQUIRE(calls.size() == 1U);
    BOOST_TEST(calls.front() == 2U);
}

} // namespace mulberry
