#include "fakes/fakequarantine.h"
#include "fakes/fakeupstream.h"
#include "fakes/ignoringobserver.h"
#include "fakes/virtualtimerservice.h"
#include "plugins/guard/guardservice.h"
#include "plugins/idempotency/idempotencykey.h"

#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

struct crash_fixture {
    virtual_timer_service timers;
    seeded_random_source random{5};
    fake_upstream upstream{timers, random};
    ignoring_observer observer;
    fake_quarantine quarantine;
    guard_service guard{make_settings(), timers, random, upstream, observer};
    std::vector<call_response> responses;
    std::uint64_t last_sequence = 0;

    crash_fixture()
    {
        upstream.set_faults({.service_time = 100ms});
        announce("i-1", std::nullopt);
    }

    guard_settings make_settings()
    {
        guard_settings result;
        result.self = {"orders-1", 4};
        result.service = "orders";
        result.upstream_url = "http://upstream";
        result.dynamic_upstream = true;
        result.admission.slots = 4;
        result.admission.learn_limit = false;
        result.quarantine = &quarantine;
        return result;
    }

    void announce(const std::string& instance, std::optional<time_point> leaving_since)
    {
        guard.set_upstream({true, instance, "orders", 4, leaving_since, 1});
    }

    void send(request_fingerprint fingerprint, const std::string& idempotency_key = {})
    {
        call_request call;
        call.attempt = {{"entry-1", 1}, ++last_sequence};
        call.service = "orders";
        call.remaining = 2s;
        call.method = "GET";
        call.path = "/list";
        call.idempotent = idempotency_key.empty();
        call.idempotency_key = idempotency_key;
        call.fingerprint = fingerprint;
        guard.handle("entry-1", call, [this](call_response response) { responses.push_back(std::move(response)); });
    }

    std::size_t count(refusal_reason reason) const
    {
        return static_cast<std::size_t>(std::ranges::count(responses, std::optional(reason), &call_response::reason));
    }
};

} // namespace

// Guards against a crash that is reported late, twice or without the requests that were running.
BOOST_FIXTURE_TEST_CASE(running_requests_of_a_crash_are_reported, crash_fixture)
{
    send(1);
    send(2);
    timers.advance(10ms);
    upstream.crash(1s);
    BOOST_TEST(quarantine.crashes.empty());
    send(3);
    timers.advance(10ms);
    send(4);
    timers.advance(10ms);
    announce("i-2", std::nullopt);
    BOOST_REQUIRE(quarantine.crashes.size() == 1U);
    std::ranges::sort(quarantine.crashes.front());
    BOOST_TEST(quarantine.crashes.front() == std::vector<request_fingerprint>({1, 2}),
               boost::test_tools::per_element());
}

// Guards against a crash without further requests that is not noticed when the upstream is back.
BOOST_FIXTURE_TEST_CASE(crash_is_reported_when_the_next_run_announces_itself, crash_fixture)
{
    send(1);
    timers.advance(10ms);
    upstream.crash(1s);
    timers.advance(2s);
    announce("i-2", std::nullopt);
    BOOST_TEST(quarantine.crashes.size() == 1U);
}

// Guards against blaming requests for lost responses, and for the end of an upstream that leaves as planned.
BOOST_FIXTURE_TEST_CASE(other_lost_connections_are_reported_as_crash, crash_fixture)
{
    upstream.set_faults({.service_time = 100ms, .lost_response = 1});
    send(1);
    timers.advance(200ms);
    upstream.set_faults({.service_time = 100ms});
    send(2);
    timers.advance(200ms);
    upstream.set_faults({.unreachable = 1});
    send(3);
    timers.advance(200ms);
    upstream.set_faults({.service_time = 100ms});
    send(4);
    timers.advance(10ms);
    announce("i-1", timers.now());
    upstream.crash(1s);
    timers.advance(2s);
    announce("i-2", std::nullopt);
    BOOST_TEST(quarantine.crashes.empty());
    BOOST_TEST(quarantine.completed == std::vector<request_fingerprint>({2}), boost::test_tools::per_element());
}

// Guards against a request that is refused although it may have run, or reaches the upstream while it is in quarantine.
BOOST_FIXTURE_TEST_CASE(request_in_quarantine_does_not_run, crash_fixture)
{
    quarantine.refused.insert(1);
    send(1);
    timers.advance(200ms);
    BOOST_REQUIRE(count(refusal_reason::request_quarantined) == 1U);
    BOOST_TEST((responses.front().result == outcome::not_run));
    BOOST_TEST(upstream.running() == 0U);
}

// Guards against a request that was queued before it came into quarantine and reaches the upstream afterwards.
BOOST_FIXTURE_TEST_CASE(queued_request_in_quarantine_does_not_run, crash_fixture)
{
    upstream.set_faults({.service_time = 2ms});
    for (request_fingerprint fingerprint = 1; fingerprint <= 5; ++fingerprint)
        send(fingerprint);
    quarantine.refused.insert(5);
    timers.advance(1s);
    BOOST_TEST(quarantine.completed.size() == 4U);
    BOOST_TEST(count(refusal_reason::request_quarantined) == 1U);
}

// Guards against an idempotency key that counts as running for ever after its request was refused just before it ran.
BOOST_FIXTURE_TEST_CASE(refused_request_can_run_later_with_its_idempotency_key, crash_fixture)
{
    const std::string key = to_string(make_idempotency_key({"orders-1", 4}, guard.idempotency_epoch(), random));
    upstream.set_faults({.service_time = 2ms});
    for (request_fingerprint fingerprint = 1; fingerprint <= 4; ++fingerprint)
        send(fingerprint);
    send(5, key);
    quarantine.refused.insert(5);
    timers.advance(1s);
    BOOST_TEST(count(refusal_reason::request_quarantined) == 1U);
    quarantine.refused.clear();
    send(5, key);
    timers.advance(1s);
    BOOST_TEST(count(refusal_reason::idempotency_running) == 0U);
    BOOST_TEST(quarantine.completed.back() == 5U);
}

// Guards against two suspects that run at the same time, so that a crash cannot be attributed, and against holding up
// other requests.
BOOST_FIXTURE_TEST_CASE(suspects_run_one_at_a_time, crash_fixture)
{
    quarantine.isolated = {1, 2};
    send(1);
    send(2);
    send(3);
    timers.advance(200ms);
    BOOST_TEST(count(refusal_reason::request_isolated) == 1U);
    BOOST_TEST(quarantine.completed == std::vector<request_fingerprint>({1, 3}), boost::test_tools::per_element());
    send(2);
    timers.advance(200ms);
    BOOST_TEST(quarantine.completed.back() == 2U);
}

} // namespace mulberry
