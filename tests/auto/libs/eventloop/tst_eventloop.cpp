#include "libs/eventloop/asiotimerservice.h"
#include "libs/eventloop/eventloop.h"
#include "libs/eventloop/singleshottimer.h"

#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace mulberry {

using std::chrono::milliseconds;

// Guards against tasks posted by other threads being lost, reordered or run outside the loop's thread.
BOOST_AUTO_TEST_CASE(tasks_of_other_threads_run_in_order_on_loop_thread)
{
    event_loop loop;
    std::vector<int> values;
    bool always_on_loop_thread = true;
    std::thread other([&] {
        for (int i = 0; i < 1000; ++i) {
            loop.post([&, i] {
                values.push_back(i);
                always_on_loop_thread = always_on_loop_thread && loop.is_loop_thread();
            });
        }
        loop.stop();
    });
    loop.run();
    other.join();
    BOOST_TEST(values.size() == 1000U);
    BOOST_TEST(std::ranges::is_sorted(values));
    BOOST_TEST(always_on_loop_thread);
    BOOST_TEST(!loop.is_loop_thread());
}

// Guards against tasks being dropped that are posted between two runs of the loop.
BOOST_AUTO_TEST_CASE(loop_runs_again_after_stop)
{
    event_loop loop;
    loop.stop();
    loop.run();
    bool ran = false;
    loop.post([&] {
        ran = true;
        loop.stop();
    });
    loop.run();
    BOOST_TEST(ran);
}

// Guards against callbacks that run early, twice, out of order, after their cancellation or within schedule().
BOOST_AUTO_TEST_CASE(timers_run_once_in_order_of_due_time)
{
    event_loop loop;
    asio_timer_service timers(loop);
    std::vector<int> values;
    const time_point start = timers.now();
    bool early = false;
    const auto record = [&](int value, milliseconds delay) {
        return [&, value, delay] {
            values.push_back(value);
            early = early || timers.now() < start + delay;
        };
    };
    timers.schedule(milliseconds(30), record(3, milliseconds(30)));
    timers.schedule(milliseconds(10), record(2, milliseconds(10)));
    const timer_id cancelled = timers.schedule(milliseconds(5), record(9, milliseconds(5)));
    timers.schedule(milliseconds(-5), record(1, milliseconds(0)));
    timers.schedule(milliseconds(40), [&] { loop.stop(); });
    timers.cancel(cancelled);
    timers.cancel(cancelled);
    BOOST_TEST(values.empty());
    loop.run();
    BOOST_TEST(values == (std::vector<int>{1, 2, 3}), boost::test_tools::per_element());
    BOOST_TEST(!early);
}

// Guards against a corrupted queue when a callback cancels or schedules others while due callbacks are running.
BOOST_AUTO_TEST_CASE(callbacks_may_modify_the_queue)
{
    event_loop loop;
    asio_timer_service timers(loop);
    bool ran_cancelled = false;
    timer_id other = 0;
    timers.schedule(duration{0}, [&] {
        timers.cancel(other);
        timers.schedule(duration{0}, [&] { loop.stop(); });
    });
    other = timers.schedule(duration{0}, [&] { ran_cancelled = true; });
    loop.run();
    BOOST_TEST(!ran_cancelled);
}

// Guards against callbacks that run after their timer service has been destroyed.
BOOST_AUTO_TEST_CASE(no_callback_after_destruction)
{
    event_loop loop;
    bool ran = false;
    {
        asio_timer_service timers(loop);
        timers.schedule(duration{0}, [&] { ran = true; });
    }
    asio_timer_service later(loop);
    later.schedule(milliseconds(5), [&] { loop.stop(); });
    loop.run();
    BOOST_TEST(!ran);
}

// Guards against a queued callback of an earlier start or of a cancelled timer, which took place after a suspension:
// both timers have expired when the first callback runs.
BOOST_AUTO_TEST_CASE(a_queued_callback_does_not_outlive_its_start)
{
    for (const bool restarts : {false, true}) {
        event_loop loop;
        single_shot_timer first(loop.context().get_executor());
        single_shot_timer second(loop.context().get_executor());
        std::vector<std::string> calls;
        first.start(milliseconds(1), [&] {
            second.cancel();
            if (restarts)
                second.start(milliseconds(20), [&] { calls.emplace_back("restarted"); });
        });
        second.start(milliseconds(2), [&] { calls.emplace_back("outdated"); });
        std::this_thread::sleep_for(milliseconds(10));
        loop.context().run_for(milliseconds(100));
        const std::vector<std::string> expected =
            restarts ? std::vector<std::string>{"restarted"} : std::vector<std::string>{};
        BOOST_TEST(calls == expected, boost::test_tools::per_element());
    }
}

// Guards against a callback that runs after its timer has been destroyed.
BOOST_AUTO_TEST_CASE(no_callback_of_a_destroyed_timer)
{
    event_loop loop;
    bool ran = false;
    auto second = std::make_unique<single_shot_timer>(loop.context().get_executor());
    single_shot_timer first(loop.context().get_executor());
    first.start(milliseconds(1), [&] { second.reset(); });
    second->start(milliseconds(2), [&] { ran = true; });
    std::this_thread::sleep_for(milliseconds(10));
    loop.context().run_for(milliseconds(50));
    BOOST_TEST(!ran);
}

// Guards against an exception in one callback that ends the process, or the timers that are due at the same time.
BOOST_AUTO_TEST_CASE(an_exception_ends_only_its_callback)
{
    event_loop loop;
    asio_timer_service timers(loop);
    bool is_timer_run = false;
    loop.post([] { throw std::runtime_error("posted"); });
    timers.schedule(milliseconds(10), [] { throw std::runtime_error("timer"); });
    timers.schedule(milliseconds(10), [&] { is_timer_run = true; });
    timers.schedule(milliseconds(30), [&] { loop.stop(); });
    loop.run();
    BOOST_TEST(is_timer_run);
}

} // namespace mulberry
