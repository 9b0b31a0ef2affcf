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

// The clock of the upstream was ahead when an earlier run started. The present run, which seems to be the earlier one,
// must be able to leave.
BOOST_FIXTURE_TEST_CASE(a_run_that_started_before_a_wrong_clock_takes_over, tracker_fixture)
{
    tracker.report(report("i-1", 5000, 1));
    bool was_accepted = false;
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
        timers.advance(1500ms);
        was_accepted = tracker.report(report("i-1", 3000, sequence));
    }
    BOOST_TEST(was_accepted);
    BOOST_TEST(tracker.current()->last_report.born_ms == 3000);
    BOOST_TEST(tracker.report(report("i-1", 3000, 6, true)));
    BOOST_TEST(tracker.current()->leaving_since.has_value());
}

// A leave that is ignored must not be acknowledged.
BOOST_FIXTURE_TEST_CASE(an_ignored_leave_is_reported_as_such, tracker_fixture)
{
    tracker.report(report("i-1", 5000, 1));
    BOOST_TEST(!tracker.report(report("i-1", 3000, 7, true)));
    BOOST_TEST(!tracker.deregister("i-1", 3000));
    BOOST_TEST(!tracker.deregister("i-2", 6000));
    BOOST_TEST(!tracker.current()->leaving_since.has_value());
    BOOST_TEST(tracker.deregister("i-1", 5000));
    // A leave that is known is acknowledged again.
    BOOST_TEST(tracker.report(report("i-1", 5000, 1, true)));
}

// Delayed reports of a run that has ended must not take over while the current run reports, nor when they come late in
// one go.
BOOST_FIXTURE_TEST_CASE(delayed_reports_do_not_take_over, tracker_fixture)
{
    tracker.report(report("i-1", 5000, 1));
    for (std::uint64_t sequence = 2; sequence <= 8; ++sequence) {
        timers.advance(1500ms);
        BOOST_TEST(!tracker.report(report("i-0", 3000, sequence)));
        BOOST_TEST(tracker.report(report("i-1", 5000, sequence)));
    }
    timers.advance(20s);
    for (std::uint64_t sequence = 20; sequence <= 30; ++sequence)
        BOOST_TEST(!tracker.report(report("i-9", 4000, sequence)));
    BOOST_TEST(tracker.current()->last_report.instance == "i-1");
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
