#include "libs/eventloop/asiotimerservice.h"
#include "libs/eventloop/eventloop.h"

#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace mulberry {

using std::chrono::milliseconds;

// Guards against tasks of other threads that are lost, reordered or run outside the loop's thread.
BOOST_AUTO_TEST_CASE(tasks_of_other_threads_run_here_in_order)
{
    event_loop loop;
    std::vector<int> seen;
    bool always_here = true;
    std::thread other([&] {
        for (int i = 0; i < 1000; ++i) {
            loop.post([&, i] {
                seen.push_back(i);
                always_here = always_here && loop.runs_here();
            });
        }
        loop.stop();
    });
    loop.run();
    other.join();
    BOOST_TEST(seen.size() == 1000U);
    BOOST_TEST(std::ranges::is_sorted(seen));
    BOOST_TEST(always_here);
    BOOST_TEST(!loop.runs_here());
}

// Guards against tasks that are dropped between two runs of the loop.
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

// Guards against timers that run early, twice, out of order, after cancel or inside schedule().
BOOST_AUTO_TEST_CASE(timers_run_once_in_order_of_their_time)
{
    event_loop loop;
    asio_timer_service timers(loop);
    std::vector<int> seen;
    const time_point start = timers.now();
    bool early = false;
    const auto note = [&](int value, milliseconds delay) {
        return [&, value, delay] {
            seen.push_back(value);
            early = early || timers.now() < start + delay;
        };
    };
    timers.schedule(milliseconds(30), note(3, milliseconds(30)));
    timers.schedule(milliseconds(10), note(2, milliseconds(10)));
    const timer_id cancelled = timers.schedule(milliseconds(5), note(9, milliseconds(5)));
    timers.schedule(milliseconds(-5), note(1, milliseconds(0)));
    timers.schedule(milliseconds(40), [&] { loop.stop(); });
    timers.cancel(cancelled);
    timers.cancel(cancelled);
    BOOST_TEST(seen.empty());
    loop.run();
    BOOST_TEST(seen == (std::vector<int>{1, 2, 3}), boost::test_tools::per_element());
    BOOST_TEST(!early);
}

// Guards against a callback that cancels or schedules others while due callbacks run.
BOOST_AUTO_TEST_CASE(callbacks_may_change_the_queue)
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

} // namespace mulberry
