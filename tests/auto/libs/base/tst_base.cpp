#include "fakes/virtualtimerservice.h"
#include "libs/base/asyncerror.h"
#include "libs/base/importance.h"
#include "libs/base/logratelimiter.h"
#include "libs/base/periodictimer.h"
#include "libs/base/refusal.h"
#include "libs/base/retrytimer.h"
#include "libs/store/keyvaluestore.h"

#include <set>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace mulberry {

// Guards against two refusal reasons with the same metric label, and against a label that refusal_reason_from_string
// does not recognise.
BOOST_AUTO_TEST_CASE(refusal_reasons_have_distinct_names)
{
    std::set<std::string_view> names;
    for (int i = 0; i < static_cast<int>(refusal_reason::count); ++i) {
        const auto reason = static_cast<refusal_reason>(i);
        names.insert(to_string(reason));
        BOOST_TEST((refusal_reason_from_string(to_string(reason)) == reason));
        BOOST_TEST(http_status(reason) >= 400);
    }
    BOOST_TEST(names.size() == static_cast<std::size_t>(refusal_reason::count));
}

// Guards against messages about starts and stops being dropped because the lines that are written for each request have
// used up the rate.
BOOST_AUTO_TEST_CASE(frequent_lines_do_not_displace_rare_lines)
{
    detail::log_rate_limiter rate;
    rate.start(20);
    const detail::log_rate_limiter::clock::time_point begin{std::chrono::hours(1)};
    const auto write = [&](int lines, double fraction) {
        int written = 0;
        for (int line = 0; line < lines; ++line) {
            if (!rate.allows(fraction))
                continue;
            rate.count_line();
            ++written;
        }
        return written;
    };
    BOOST_TEST(rate.begin_second(begin));
    BOOST_TEST(write(100, 0.75) == 15);
    BOOST_TEST(write(100, 1) == 5);
    BOOST_TEST(!rate.begin_second(begin + std::chrono::milliseconds(999)));
    BOOST_TEST(write(1, 1) == 0);
    BOOST_TEST(rate.begin_second(begin + std::chrono::seconds(1)));
    BOOST_TEST(write(100, 1) == 20);
}

// Guards against an error object that is lost between the failing function and an asynchronous callback.
BOOST_AUTO_TEST_CASE(captured_error_outlives_its_scope)
{
    leaf::result<int> failed = captured_error<int>(store_error::unknown_outcome);
    BOOST_TEST(!failed);
    const store_error error = error_of(std::move(failed), store_error::bad_answer);
    BOOST_TEST((error == store_error::unknown_outcome));
}

// Guards against a periodic timer that drifts or continues after its destruction.
BOOST_AUTO_TEST_CASE(periodic_timer_follows_virtual_time)
{
    virtual_timer_service timers;
    std::vector<time_point> calls;
    {
        periodic_timer periodic(timers, std::chrono::seconds(1), [&] { calls.push_back(timers.now()); });
        timers.advance(std::chrono::milliseconds(3500));
    }
    timers.advance(std::chrono::seconds(5));
    BOOST_REQUIRE(calls.size() == 3);
    BOOST_TEST((calls[2].time_since_epoch() == std::chrono::seconds(3)));
}

// Guards against repetitions that add up while an operation fails, and against a delay that stays long after a success.
BOOST_AUTO_TEST_CASE(retry_timer_has_one_pending_repetition)
{
    virtual_timer_service timers;
    int calls = 0;
    retry_timer retry(timers, std::chrono::milliseconds(100), std::chrono::milliseconds(300), [&calls] { ++calls; });
    const auto calls_after = [&](std::chrono::milliseconds time) {
        retry.schedule();
        retry.schedule();
        timers.advance(time - std::chrono::milliseconds(1));
        const int before = calls;
        timers.advance(std::chrono::milliseconds(1));
        return calls - before;
    };
    BOOST_TEST(calls_after(std::chrono::milliseconds(100)) == 1);
    BOOST_TEST(calls_after(std::chrono::milliseconds(200)) == 1);
    BOOST_TEST(calls_after(std::chrono::milliseconds(300)) == 1);
    BOOST_TEST(calls_after(std::chrono::milliseconds(300)) == 1);
    retry.reset();
    BOOST_TEST(calls_after(std::chrono::milliseconds(100)) == 1);
    timers.advance(std::chrono::seconds(10));
    BOOST_TEST(calls == 5);
}

} // namespace mulberry
