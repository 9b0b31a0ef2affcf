#include "fakes/fakeupstream.h"
#include "fakes/ignoringobserver.h"
#include "fakes/virtualtimerservice.h"
#include "plugins/guard/guardservice.h"

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

/// Time from the first response that names a limit until the limit binds, and the span over which requests are counted.
constexpr duration binding_delay = 3s;
constexpr duration counting_span = 4s;
/// The upstream may get this multiple of what its limit allows in a span, and this number of requests on top of it.
constexpr double allowed_ratio = 1.5;
constexpr double allowed_excess = 5;

/// An upstream that names a limit, and callers that send far more calls.
struct limited_upstream_fixture {
    virtual_timer_service timers;
    seeded_random_source random{7};
    fake_upstream upstream{timers, random};
    ignoring_observer observer;
    std::unique_ptr<guard_service> guard = make_guard();
    std::vector<time_point> arrivals;
    std::size_t refused_as_not_run = 0;
    std::uint64_t last_sequence = 0;
    /// What the sender of the calls knows of the upstream, from the last response.
    upstream_notice known_notice;

    limited_upstream_fixture()
    {
        upstream.set_faults({.service_time = 100ms});
        upstream.on_run([this](const http_request&) { arrivals.push_back(timers.now()); });
    }

    std::unique_ptr<guard_service> make_guard()
    {
        guard_settings settings;
        settings.self = {"orders-1", 4};
        settings.service = "orders";
        settings.upstream_url = "http://upstream";
        settings.dynamic_upstream = true;
        settings.admission.learn_limit = false;
        settings.fields.rate_limit = "Rate-Limit";
        auto result = std::make_unique<guard_service>(settings, timers, random, upstream, observer);
        result->set_upstream({true, "i-1", "orders", 100, std::nullopt, 1});
        return result;
    }

    void name_limit(double per_second)
    {
        upstream.set_response_headers({{"Rate-Limit", fmt::format("{:g}", per_second)}});
    }

    void name_no_limit() { upstream.set_response_headers({}); }

    call_request next_call()
    {
        call_request call;
        call.attempt = {{"entry-1", 1}, ++last_sequence};
        call.organisation = "kiosk";
        call.service = "orders";
        call.remaining = 2s;
        call.method = "GET";
        call.path = "/list";
        call.idempotent = true;
        call.notice = known_notice;
        return call;
    }

    void send(const call_request& call)
    {
        guard->handle("entry-1", call, [this](const call_response& response) {
            refused_as_not_run += response.result == outcome::not_run ? 1 : 0;
            known_notice = response.notice;
        });
    }

    /// Sends calls at an even rate for some time.
    void send_calls(duration length, double per_second)
    {
        const time_point end = timers.now() + length;
        const duration interval = from_seconds(1 / per_second);
        while (timers.now() < end) {
            send(next_call());
            timers.advance(interval);
        }
    }

    /// The largest number of arrivals in any span that begins at `from` or later.
    double most_arrivals_in_span(time_point from) const
    {
        std::size_t most = 0;
        for (std::size_t first = 0; first < arrivals.size(); ++first) {
            if (arrivals[first] < from)
                continue;
            const auto end = std::ranges::lower_bound(arrivals, arrivals[first] + counting_span);
            most = std::max(most, static_cast<std::size_t>(end - arrivals.begin()) - first);
        }
        return static_cast<double>(most);
    }

    void check_limit(double per_second, time_point from) const
    {
        const double allowed = per_second * to_seconds(counting_span) * allowed_ratio + allowed_excess;
        BOOST_TEST(most_arrivals_in_span(from) <= allowed,
                   per_second << " a second: " << most_arrivals_in_span(from) << " arrivals, allowed " << allowed);
    }
};

} // namespace

// Guards against passing on more requests than the upstream says that it takes, and against far fewer.
BOOST_AUTO_TEST_CASE(upstream_receives_more_than_the_rate_it_named)
{
    for (const double limit : {0.0, 0.4, 3.0, 13.4, 42.0, 150.0}) {
        limited_upstream_fixture fixture;
        fixture.send_calls(1s, 200);
        fixture.name_limit(limit);
        const time_point named_at = fixture.timers.now();
        fixture.send_calls(12s, 400);
        fixture.check_limit(limit, named_at + binding_delay);
        const double least = limit * to_seconds(counting_span) * 0.8;
        BOOST_TEST(fixture.most_arrivals_in_span(named_at + binding_delay) >= least, limit << " a second");
    }
}

// Guards against a limit that stays in force after the upstream has ceased to name it.
BOOST_FIXTURE_TEST_CASE(limit_outlives_the_responses_that_named_it, limited_upstream_fixture)
{
    for (const double limit : {0.0, 20.0}) {
        name_limit(limit);
        send_calls(5s, 200);
        name_no_limit();
        send_calls(3s, 200);
        arrivals.clear();
        send_calls(2s, 200);
        BOOST_TEST(arrivals.size() >= 390U);
    }
}

// Guards against a burst when a response that was written before the upstream named its limit arrives late.
BOOST_FIXTURE_TEST_CASE(late_response_lifts_the_limit, limited_upstream_fixture)
{
    upstream.set_faults({.service_time = 1900ms});
    send(next_call());
    timers.advance(10ms);
    upstream.set_faults({.service_time = 100ms});
    name_limit(10);
    send_calls(1s, 200);
    timers.advance(700ms);
    name_no_limit();
    timers.advance(300ms); // only the first call is running; its response names no limit
    BOOST_TEST(guard->in_progress() == 0U);
    name_limit(10);
    arrivals.clear();
    send_calls(1s, 200);
    BOOST_TEST(arrivals.size() <= 20U);
}

// Guards against a limit that is applied to the next run of the upstream.
BOOST_FIXTURE_TEST_CASE(limit_of_an_earlier_run_applies, limited_upstream_fixture)
{
    name_limit(2);
    send_calls(3s, 100);
    name_no_limit();
    guard->set_upstream({true, "i-1", "orders", 100, std::nullopt, 2});
    timers.advance(1s);
    arrivals.clear();
    send_calls(1s, 100);
    BOOST_TEST(arrivals.size() >= 95U);
}

// Guards against a restarted node that passes on requests freely until the first response tells it the limit again.
BOOST_FIXTURE_TEST_CASE(restarted_guard_forgets_the_rate_of_its_upstream, limited_upstream_fixture)
{
    upstream.set_faults({.service_time = 500ms});
    name_limit(3);
    const time_point named_at = timers.now();
    send_calls(5s, 100);
    for (int restart = 0; restart < 3; ++restart) {
        guard->refuse_all(refusal_reason::draining);
        guard = make_guard();
        known_notice = {3.0, false};
        send_calls(2s, 100);
    }
    check_limit(3, named_at + binding_delay);
}

// Guards against a sender's older knowledge that replaces what the upstream itself has said since.
BOOST_FIXTURE_TEST_CASE(knowledge_of_a_sender_replaces_that_of_the_guard, limited_upstream_fixture)
{
    send_calls(500ms, 50);
    arrivals.clear();
    known_notice = {0.5, false};
    for (int i = 0; i < 50; ++i) {
        call_request call = next_call();
        call.notice = {0.5, false};
        send(call);
    }
    timers.advance(1s);
    BOOST_TEST(arrivals.size() == 50U);
}

// Guards against refusals that promise too much or too little: what waits for a limited upstream has not run.
BOOST_FIXTURE_TEST_CASE(excess_calls_are_not_refused_as_not_run, limited_upstream_fixture)
{
    name_limit(10);
    send_calls(4s, 200);
    timers.advance(3s);
    BOOST_TEST(refused_as_not_run + arrivals.size() == last_sequence);
    BOOST_TEST(guard->in_progress() == 0U);
}

} // namespace mulberry
