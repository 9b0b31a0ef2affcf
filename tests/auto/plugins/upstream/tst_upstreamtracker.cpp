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

// A delayed report from before the upstream began to leave must not put it back into service.
BOOST_FIXTURE_TEST_CASE(leaving_is_final_within_a_run, tracker_fixture)
{
    BOOST_TEST(tracker.report(report("i-1", 100, 4)));
    BOOST_TEST(tracker.report(report("i-1", 100, 6, true)));
    BOOST_TEST(!tracker.report(report("i-1", 100, 5)));
    BOOST_TEST(tracker.report(report("i-1", 100, 7)));
    BOOST_TEST(tracker.current()->leaving_since.has_value());
    BOOST_TEST(changes == 2);
}

// A delayed report of an earlier run must not replace the reports of the current run.
BOOST_FIXTURE_TEST_CASE(reports_of_an_earlier_run_are_ignored, tracker_fixture)
{
    tracker.report(report("i-1", 100, 90));
    BOOST_TEST(tracker.report(report("i-2", 200, 1)));
    BOOST_TEST(!tracker.report(report("i-1", 100, 91)));
    BOOST_TEST(tracker.current()->last_report.instance == "i-2");
}

// An upstream may restart with the same instance id; the reports of the new run start a new sequence and must be
// accepted.
BOOST_FIXTURE_TEST_CASE(a_new_run_may_keep_its_id, tracker_fixture)
{
    tracker.report(report("i-1", 100, 50, true));
    BOOST_TEST(tracker.report(report("i-1", 300, 1)));
    BOOST_TEST(!tracker.current()->leaving_since.has_value());
}

// A deregistration must take effect even if this node started after the upstream's last report.
BOOST_FIXTURE_TEST_CASE(deregistration_takes_effect_without_an_earlier_report, tracker_fixture)
{
    tracker.deregister("i-1", 100);
    BOOST_REQUIRE(tracker.current().has_value());
    BOOST_TEST(tracker.current()->leaving_since.has_value());
    tracker.report(report("i-1", 100, 3));
    BOOST_TEST(tracker.current()->leaving_since.has_value());
}

// The deregistration of an earlier run must not mark the current run as leaving.
BOOST_FIXTURE_TEST_CASE(deregistration_of_another_run_is_ignored, tracker_fixture)
{
    tracker.report(report("i-2", 200, 1));
    tracker.deregister("i-1", 100);
    tracker.deregister("i-2", 150);
    BOOST_TEST(!tracker.current()->leaving_since.has_value());
    tracker.deregister("i-2", 200);
    BOOST_TEST(tracker.current()->leaving_since.has_value());
}

// State that was restored from an earlier run of this node must not replace reports of the upstream.
BOOST_FIXTURE_TEST_CASE(a_report_replaces_restored_state, tracker_fixture)
{
    tracker.restore(report("i-1", 100, 0));
    BOOST_TEST(tracker.current()->last_report.instance == "i-1");
    BOOST_TEST(tracker.report(report("i-1", 100, 8, true)));
    tracker.restore(report("i-0", 50, 0));
    BOOST_TEST(tracker.current()->last_report.instance == "i-1");
    BOOST_TEST(tracker.current()->leaving_since.has_value());
}

// Guards against an upstream that has left and is in use again after a restart of its node: a delayed announcement from
// before its leave arrives after or before the entry of the earlier run.
BOOST_FIXTURE_TEST_CASE(a_restored_leave_is_final, tracker_fixture)
{
    tracker.restore(report("i-1", 100, 0, true));
    tracker.report(report("i-1", 100, 5));
    BOOST_TEST(tracker.current()->leaving_since.has_value());
    upstream_tracker late(timers, [](const tracked_upstream&) {});
    late.report(report("i-1", 100, 5));
    late.restore(report("i-1", 100, 0, true));
    BOOST_TEST(late.current()->leaving_since.has_value());
    // A later run of the upstream is in service.
    late.report(report("i-2", 200, 1));
    BOOST_TEST(!late.current()->leaving_since.has_value());
}

} // namespace mulberry
