#include "fakes/virtualtimerservice.h"
#include "plugins/upstream/upstreamtracker.h"

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

struct tracker_fixture {
    virtual_timer_service timers;
    int changes = 0;
    upstream_tracker tracker{timers, [this](const tracked_upstream&) { ++changes; }};

    static upstream_report report(std::string instance, std::int64_t born_ms, std::uint64_t sequence,
                                  bool leaving = false)
    {
        return {std::move(instance), "orders", 140, leaving, sequence, born_ms};
    }
};

} // namespace

// Guards against a late report that brings a leaving upstream back.
BOOST_FIXTURE_TEST_CASE(leaving_is_final_within_a_run, tracker_fixture)
{
    BOOST_TEST(tracker.report(report("i-1", 100, 4)));
    BOOST_TEST(tracker.report(report("i-1", 100, 6, true)));
    BOOST_TEST(!tracker.report(report("i-1", 100, 5)));
    BOOST_TEST(tracker.report(report("i-1", 100, 7)));
    BOOST_TEST(tracker.current()->leaving_since.has_value());
    BOOST_TEST(changes == 2);
}

// Guards against a report of an earlier run that was held up and arrives after the next run's.
BOOST_FIXTURE_TEST_CASE(reports_of_an_earlier_run_are_ignored, tracker_fixture)
{
    tracker.report(report("i-1", 100, 90));
    BOOST_TEST(tracker.report(report("i-2", 200, 1)));
    BOOST_TEST(!tracker.report(report("i-1", 100, 91)));
    BOOST_TEST(tracker.current()->last.instance == "i-2");
}

// Guards against a run that starts again under its id and whose sequence starts anew.
BOOST_FIXTURE_TEST_CASE(a_new_run_may_keep_its_id, tracker_fixture)
{
    tracker.report(report("i-1", 100, 50, true));
    BOOST_TEST(tracker.report(report("i-1", 300, 1)));
    BOOST_TEST(!tracker.current()->leaving_since.has_value());
}

// Guards against an end that is forgotten because this node started after the upstream's last report.
BOOST_FIXTURE_TEST_CASE(an_end_binds_without_an_earlier_report, tracker_fixture)
{
    tracker.deregister("i-1", 100);
    BOOST_REQUIRE(tracker.current().has_value());
    BOOST_TEST(tracker.current()->leaving_since.has_value());
    tracker.report(report("i-1", 100, 3));
    BOOST_TEST(tracker.current()->leaving_since.has_value());
}

// Guards against the end of an earlier run that takes the present one out of use.
BOOST_FIXTURE_TEST_CASE(the_end_of_another_run_is_ignored, tracker_fixture)
{
    tracker.report(report("i-2", 200, 1));
    tracker.deregister("i-1", 100);
    tracker.deregister("i-2", 150);
    BOOST_TEST(!tracker.current()->leaving_since.has_value());
    tracker.deregister("i-2", 200);
    BOOST_TEST(tracker.current()->leaving_since.has_value());
}

// Guards against an adopted upstream that hides what the upstream itself says.
BOOST_FIXTURE_TEST_CASE(a_report_replaces_what_was_adopted, tracker_fixture)
{
    tracker.adopt(report("i-1", 100, 0));
    BOOST_TEST(tracker.current()->last.instance == "i-1");
    BOOST_TEST(tracker.report(report("i-1", 100, 8, true)));
    tracker.adopt(report("i-0", 50, 0));
    BOOST_TEST(tracker.current()->last.instance == "i-1");
    BOOST_TEST(tracker.current()->leaving_since.has_value());
}

} // namespace mulberry
