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
    std::size_t work = 0;
    bool told = false;
    /// A participant that forgets its work when it is cut, which the controller must notice.
    bool forgets = false;

    void begin_drain() override { told = true; }
    bool is_idle() const override { return work == 0; }
    std::size_t cut() override { return forgets ? 0 : std::exchange(work, 0); }
};

struct drain_fixture {
    virtual_timer_service timers;
    fake_participant part;
    std::array<drain_participant*, 1> parts{&part};
    drain_controller controller{{.settle_time = 3s, .limit = 30s}, timers, parts};
    std::optional<std::size_t> cut;

    void start()
    {
        controller.start([this](std::size_t requests) { cut = requests; });
    }
};

} // namespace

// Guards against a stop that ends before work sent by unaware nodes can arrive, or while work is in progress.
BOOST_FIXTURE_TEST_CASE(stop_waits_for_work_and_for_the_settle_time, drain_fixture)
{
    start();
    BOOST_TEST(part.told);
    timers.advance(2s);
    BOOST_TEST(!cut.has_value());
    part.work = 1;
    timers.advance(10s);
    BOOST_TEST(!cut.has_value());
    part.work = 0;
    timers.advance(1s);
    BOOST_REQUIRE(cut.has_value());
    BOOST_TEST(*cut == 0U);
}

// Guards against a stop that never ends, and against cut requests that are not counted.
BOOST_FIXTURE_TEST_CASE(limit_cuts_and_counts, drain_fixture)
{
    part.work = 4;
    start();
    timers.advance(29s);
    BOOST_TEST(!cut.has_value());
    timers.advance(2s);
    BOOST_REQUIRE(cut.has_value());
    BOOST_TEST(*cut == 4U);
}

// Guards against a second signal that is ignored.
BOOST_FIXTURE_TEST_CASE(expedite_cuts_now, drain_fixture)
{
    part.work = 2;
    start();
    controller.expedite();
    timers.advance(1s);
    BOOST_REQUIRE(cut.has_value());
    BOOST_TEST(*cut == 2U);
}

// Shows that the invariant fires when work is neither finished nor counted as cut.
BOOST_FIXTURE_TEST_CASE(lost_work_is_a_violation, drain_fixture)
{
    const auto before = invariant_monitor::instance().violations(invariant::planned_stop_cuts_nothing);
    part.work = 1;
    part.forgets = true;
    start();
    timers.advance(31s);
    BOOST_TEST(invariant_monitor::instance().violations(invariant::planned_stop_cuts_nothing) == before + 1);
}

} // namespace mulberry
