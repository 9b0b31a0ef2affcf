#include "fakes/virtualtimerservice.h"
#include "libs/base/invariant.h"
#include "plugins/drain/draincontroller.h"

#include <array>
#include <optional>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

class fake_participant final : public drain_participant {
public:
    std::size_t requests_in_progress = 0;
    bool drain_begun = false;
    /// Whether `abort_requests` neither aborts nor counts the work in progress, which the controller must detect.
    bool loses_work = false;

    void begin_drain() override { drain_begun = true; }
    bool is_idle() const override { return requests_in_progress == 0; }
    std::size_t abort_requests() override { return loses_work ? 0 : std::exchange(requests_in_progress, 0); }
};

struct drain_fixture {
    virtual_timer_service timers;
    fake_participant participant;
    std::array<drain_participant*, 1> participants{&participant};
    drain_controller controller{{.settle_time = 3s, .limit = 30s}, timers, participants};
    std::optional<std::size_t> aborted_requests;

    void start()
    {
        controller.start([this](std::size_t requests) { aborted_requests = requests; });
    }
};

} // namespace

// A stop must not end before the settle time, because other nodes may still send work, nor while work is in progress.
BOOST_FIXTURE_TEST_CASE(stop_waits_for_requests_and_the_settle_time, drain_fixture)
{
    start();
    BOOST_TEST(participant.drain_begun);
    timers.advance(2s);
    BOOST_TEST(!aborted_requests.has_value());
    participant.requests_in_progress = 1;
    timers.advance(10s);
    BOOST_TEST(!aborted_requests.has_value());
    participant.requests_in_progress = 0;
    timers.advance(1s);
    BOOST_REQUIRE(aborted_requests.has_value());
    BOOST_TEST(*aborted_requests == 0U);
}

// A stop must end at the limit and report the number of aborted requests.
BOOST_FIXTURE_TEST_CASE(limit_aborts_and_counts_requests, drain_fixture)
{
    participant.requests_in_progress = 4;
    start();
    timers.advance(29s);
    BOOST_TEST(!aborted_requests.has_value());
    timers.advance(2s);
    BOOST_REQUIRE(aborted_requests.has_value());
    BOOST_TEST(*aborted_requests == 4U);
}

// A second signal must end the stop immediately.
BOOST_FIXTURE_TEST_CASE(expedite_aborts_requests_immediately, drain_fixture)
{
    participant.requests_in_progress = 2;
    start();
    controller.expedite();
    timers.advance(1s);
    BOOST_REQUIRE(aborted_requests.has_value());
    BOOST_TEST(*aborted_requests == 2U);
}

// Work that is neither finished nor counted as aborted must violate the invariant.
BOOST_FIXTURE_TEST_CASE(lost_work_violates_the_invariant, drain_fixture)
{
    const auto before = invariant_monitor::instance().violations(invariant::planned_stop_cuts_nothing);
    participant.requests_in_progress = 1;
    participant.loses_work = true;
    start();
    timers.advance(31s);
    BOOST_TEST(invariant_monitor::instance().violations(invariant::planned_stop_cuts_nothing) == before + 1);
}

} // namespace mulberry
