#include "fakes/fakeupstream.h"
#include "fakes/ignoringobserver.h"
#include "fakes/virtualtimerservice.h"
#include "libs/base/invariant.h"
#include "plugins/calls/headerpolicy.h"
#include "plugins/guard/guardservice.h"

#include <array>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

struct guard_fixture {
    virtual_timer_service timers;
    seeded_random_source random{5};
    fake_upstream upstream{timers, random};
    ignoring_observer observer;
    guard_settings settings = make_settings();
    guard_service guard{settings, timers, random, upstream, observer};
    std::vector<call_response> responses;
    int run_count = 0;

    guard_fixture()
    {
        upstream.on_run([this](const http_request&) { ++run_count; });
    }

    static guard_settings make_settings()
    {
        guard_settings result;
        result.self = {"orders-1", 4};
        result.service = "orders";
        result.upstream_url = "http://upstream";
        result.admission.slots = 2;
        result.admission.learn_limit = false;
        return result;
    }

    static call_request request(std::uint64_t sequence)
    {
        call_request result;
        result.attempt = {{"entry-1", 1}, sequence};
        result.organisation = "kiosk";
        result.service = "orders";
        result.remaining = 2s;
        result.method = "POST";
        result.path = "/place";
        result.headers = {{"Authorization", "Bearer secret"}, {"Mulberry-Organisation", "other"}};
        result.body = "flute";
        return result;
    }

    void handle(const call_request& call)
    {
        guard.handle("entry-1", call, [this](call_response response) { responses.push_back(std::move(response)); });
    }

    call_response only_response()
    {
        BOOST_REQUIRE(responses.size() == 1U);
        return responses.front();
    }
};

} // namespace

// Guards against running a call that was sent to another node: the address of a stopped node may have been reused, and
// the sender did not choose the upstream that is there now.
BOOST_FIXTURE_TEST_CASE(calls_for_another_node_do_not_run, guard_fixture)
{
    call_request call = request(1);
    call.receiver = "orders-7";
    handle(call);
    BOOST_TEST((only_response().result == outcome::not_run));
    BOOST_TEST((only_response().reason == refusal_reason::upstream_unreachable));
    call = request(2);
    call.receiver = "orders-1";
    handle(call);
    timers.advance(1s);
    BOOST_TEST(run_count == 1);
}

// Guards against running a call whose sender name differs from the authenticated one, and a call for another service.
BOOST_FIXTURE_TEST_CASE(misdirected_calls_do_not_run, guard_fixture)
{
    call_request other_sender = request(1);
    other_sender.attempt.sender.name = "entry-2";
    handle(other_sender);
    call_request other_service = request(2);
    other_service.service = "stores";
    handle(other_service);
    timers.advance(1s);
    BOOST_REQUIRE(responses.size() == 2U);
    for (const call_response& response : responses)
        BOOST_TEST((response.result == outcome::not_run));
    BOOST_TEST(run_count == 0);
}

// Guards against forwarding the caller's credentials to the upstream, and against identity headers that a caller
// forged.
BOOST_FIXTURE_TEST_CASE(upstream_gets_identity_but_no_key, guard_fixture)
{
    handle(request(1));
    timers.advance(1s);
    BOOST_TEST((only_response().result == outcome::ran));
    BOOST_TEST(find_header(upstream.last_headers(), "authorization").empty());
    BOOST_TEST(find_header(upstream.last_headers(), organisation_header) == "kiosk");
    BOOST_TEST(find_header(upstream.last_headers(), context_header).size() == 32U);
}

// Guards against running a request twice when its message is delivered twice, during and after the first run.
BOOST_FIXTURE_TEST_CASE(duplicate_message_runs_once, guard_fixture)
{
    handle(request(1));
    handle(request(1));
    timers.advance(1s);
    handle(request(1));
    timers.advance(1s);
    BOOST_TEST(run_count == 1);
    BOOST_REQUIRE(responses.size() == 3U);
    BOOST_TEST((responses[0].reason == refusal_reason::duplicate_attempt));
    BOOST_TEST((responses[0].result == outcome::unknown));
}

// Guards against running a call whose cancel message was delivered first.
BOOST_FIXTURE_TEST_CASE(cancel_before_the_call_prevents_it, guard_fixture)
{
    guard.cancel(request(1).attempt);
    handle(request(1));
    timers.advance(1s);
    BOOST_TEST(run_count == 0);
}

// Guards against running a queued call after it was cancelled, and against a leaked slot.
BOOST_FIXTURE_TEST_CASE(cancelled_queued_call_never_runs, guard_fixture)
{
    upstream.set_faults({.service_time = 50ms});
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence)
        handle(request(sequence));
    timers.run_due();
    guard.cancel(request(3).attempt);
    timers.advance(1s);
    BOOST_TEST(run_count == 2);
    BOOST_TEST(responses.size() == 2U);
    BOOST_TEST(guard.in_progress() == 0U);
}

// Guards against reporting "not run" for a request that the upstream may have received.
BOOST_FIXTURE_TEST_CASE(outcome_depends_on_what_the_upstream_received, guard_fixture)
{
    struct row {
        upstream_faults faults{};
        outcome result{};
        refusal_reason reason{};
    };
    const std::array rows{
        row{{.unreachable = 1}, outcome::not_run, refusal_reason::upstream_unreachable},
        row{{.lost_response = 1}, outcome::unknown, refusal_reason::connection_lost},
        row{{.service_time = 10s}, outcome::unknown, refusal_reason::deadline_expired},
    };
    std::uint64_t sequence = 0;
    for (const row& expected : rows) {
        responses.clear();
        upstream.set_faults(expected.faults);
        handle(request(++sequence));
        timers.advance(5s);
        const call_response response = only_response();
        BOOST_TEST((response.result == expected.result));
        BOOST_TEST((response.reason == expected.reason));
    }
}

// Guards against a second run under one idempotency key, whether the first response is stored, lost or still pending.
BOOST_FIXTURE_TEST_CASE(idempotency_key_runs_once, guard_fixture)
{
    for (const bool lose_response : {false, true}) {
        upstream.set_faults({.lost_response = lose_response ? 1.0 : 0.0});
        run_count = 0;
        responses.clear();
        const std::string key = to_string(make_idempotency_key(settings.self, guard.idempotency_epoch(), random));
        const std::uint64_t first = lose_response ? 10 : 1;
        for (std::uint64_t repeat = 0; repeat < 4; ++repeat) {
            call_request call = request(first + repeat);
            call.idempotency_key = key;
            handle(call);
            timers.advance(repeat == 0 ? 1ms : 1s);
        }
        BOOST_TEST(run_count == 1);
        BOOST_REQUIRE(responses.size() == 4U);
        BOOST_TEST((responses[0].reason == refusal_reason::idempotency_running));
        BOOST_TEST(responses[3].replayed == !lose_response);
        BOOST_TEST((responses[3].result == (lose_response ? outcome::unknown : outcome::ran)));
    }
}

// Guards against accepting calls after the leaving grace period, and against a planned stop that refuses calls sent
// before their sender was notified.
BOOST_FIXTURE_TEST_CASE(leaving_guard_completes_calls_and_refuses_new_ones, guard_fixture)
{
    upstream.set_faults({.service_time = 1500ms});
    handle(request(1));
    guard.begin_leaving();
    timers.advance(1s);
    handle(request(2)); // sent before its sender was notified
    timers.advance(2s);
    handle(request(3));
    timers.advance(2s);
    BOOST_TEST(run_count == 2);
    BOOST_REQUIRE(responses.size() == 3U);
    int refused = 0;
    for (const call_response& response : responses)
        refused += response.reason == refusal_reason::leaving && response.result == outcome::not_run ? 1 : 0;
    BOOST_TEST(refused == 1);
    BOOST_TEST(guard.in_progress() == 0U);
}

// Guards against nested calls on behalf of a call that has ended, and against accepting a made-up context token.
BOOST_FIXTURE_TEST_CASE(context_exists_while_its_call_runs, guard_fixture)
{
    handle(request(1));
    timers.run_due();
    const std::string token(find_header(upstream.last_headers(), context_header));
    BOOST_REQUIRE(guard.find_context(token) != nullptr);
    BOOST_TEST(guard.find_context(token)->organisation == "kiosk");
    BOOST_TEST((guard.find_context(std::string(32, '0')) == nullptr));
    timers.advance(1s);
    BOOST_TEST((guard.find_context(token) == nullptr));
}

// Guards against accepting old sequence numbers again after the numbers of a sender have jumped far ahead.
BOOST_AUTO_TEST_CASE(attempt_filter_accepts_each_number_once)
{
    virtual_timer_service timers;
    attempt_filter filter(timers);
    const node_id sender{"entry-1", 1};
    constexpr std::uint64_t window = attempt_filter::window_size;
    struct row {
        std::uint64_t sequence{};
        bool accepted{};
    };
    const std::array rows{row{0, false},          row{5, true},           row{5, false},
                          row{3, true},           row{3, false},          row{window + 4, true},
                          row{4, false},          row{5, false},          row{6, true},
                          row{5 * window, true},  row{4 * window, false}, row{4 * window + 1, true},
                          row{window + 4, false}, row{5 * window, false}};
    for (const row& expected : rows)
        BOOST_TEST(filter.accept({sender, expected.sequence}) == expected.accepted, expected.sequence);
    BOOST_TEST(filter.accept({{"entry-1", 2}, 5}));
}

// Guards against memory use that grows with every sender ever seen.
BOOST_AUTO_TEST_CASE(attempt_filter_removes_idle_senders)
{
    virtual_timer_service timers;
    attempt_filter filter(timers);
    for (std::uint64_t run = 1; run <= 50; ++run)
        filter.accept({{"entry-1", run}, 1});
    timers.advance(11min);
    filter.accept({{"entry-1", 51}, 1});
    BOOST_TEST(filter.sender_count() == 1U);
}

namespace {

/// An upstream that returns the same response to every request.
struct fixed_upstream final : http_client {
    http_call_id send(http_request request, http_callback callback) override
    {
        last_request = std::move(request);
        ++request_count;
        callback(response);
        return 1;
    }
    void cancel(http_call_id) override {}

    http_response response{200, {}, "ok"};
    http_request last_request;
    int request_count = 0;
};

struct announced_fixture {
    virtual_timer_service timers;
    seeded_random_source random{5};
    fixed_upstream upstream;
    ignoring_observer observer;
    guard_service guard{make_settings(), timers, random, upstream, observer};
    std::uint64_t sequence = 0;

    static guard_settings make_settings()
    {
        guard_settings result = guard_fixture::make_settings();
        result.dynamic_upstream = true;
        result.upstream_leaving_grace_period = 1s;
        result.fields.expected_instance = "Instance";
        result.fields.not_executed = "Not-Run";
        result.fields.calling_service = "Caller";
        result.fields.forwards_host = true;
        result.downstream_report = [] { return std::vector{downstream_load{"workbench", 0.5F}}; };
        return result;
    }

    void announce(std::optional<time_point> leaving_since = std::nullopt)
    {
        guard.set_upstream({true, "i-1", "orders", 4, leaving_since});
    }

    call_response call(std::string service = "orders")
    {
        call_request request = guard_fixture::request(++sequence);
        request.service = std::move(service);
        request.calling_service = "shop";
        request.headers = {{"Host", "h.example"}, {"Instance", "forged"}, {"Caller", "forged"}};
        call_response result;
        guard.handle("entry-1", std::move(request), [&](call_response response) { result = std::move(response); });
        timers.advance(1ms);
        return result;
    }
};

} // namespace

// Guards against forwarding calls to an upstream that has not announced itself, or that runs another service.
BOOST_FIXTURE_TEST_CASE(only_an_announced_upstream_gets_calls, announced_fixture)
{
    BOOST_TEST((call().result == outcome::not_run));
    announce();
    BOOST_TEST((call().result == outcome::ran));
    BOOST_TEST((call("stores").result == outcome::not_run));
    BOOST_TEST(upstream.request_count == 1);
}

// Guards against senders that are not notified of overloaded downstream services. Only responses to calls that ran
// contain the report.
BOOST_FIXTURE_TEST_CASE(responses_of_executed_calls_report_downstream_loads, announced_fixture)
{
    BOOST_TEST(call().downstream.empty());
    announce();
    const auto reported = call().downstream;
    BOOST_REQUIRE(reported.size() == 1U);
    BOOST_TEST(reported.front().service == "workbench");
}

// Guards against loading an upstream so heavily that its service time rises.
BOOST_FIXTURE_TEST_CASE(share_of_the_announced_slots_stays_free, announced_fixture)
{
    guard_settings settings = make_settings();
    settings.usable_slot_share = 0.9;
    guard_service limited{settings, timers, random, upstream, observer};
    limited.set_upstream({true, "i-1", "orders", 40, std::nullopt});
    BOOST_TEST(limited.admission().concurrency_limit() == 36U);
    limited.set_upstream({true, "i-2", "orders", 1, std::nullopt});
    BOOST_TEST(limited.admission().concurrency_limit() == 1U);
}

// Guards against forwarding identity headers that a caller forged, and against a request without the expected instance.
BOOST_FIXTURE_TEST_CASE(node_sets_the_identity_headers_for_the_upstream, announced_fixture)
{
    announce();
    call();
    BOOST_TEST(find_header(upstream.last_request.headers, "Instance") == "i-1");
    BOOST_TEST(find_header(upstream.last_request.headers, "Caller") == "shop");
    BOOST_TEST(find_header(upstream.last_request.headers, "Host") == "h.example");
}

// Guards against treating a refusal by the upstream as a run, and against sending further requests to a replacement
// upstream that has not announced itself.
BOOST_FIXTURE_TEST_CASE(upstream_refusals_are_reported_as_not_run, announced_fixture)
{
    announce();
    upstream.response = {503, {{"Not-Run", "1"}}, ""};
    BOOST_TEST((call().result == outcome::not_run));
    upstream.response = {503, {}, ""};
    BOOST_TEST((call().result == outcome::ran));
    upstream.response = {421, {}, ""};
    BOOST_TEST((call().result == outcome::not_run));
    BOOST_TEST((call().result == outcome::not_run));
    BOOST_TEST(upstream.request_count == 3);
    announce();
    upstream.response = {200, {}, "ok"};
    BOOST_TEST((call().result == outcome::ran));
}

// Guards against forwarding calls to a leaving upstream after its grace period.
BOOST_FIXTURE_TEST_CASE(a_leaving_upstream_gets_no_calls_after_the_grace_period, announced_fixture)
{
    announce(timers.now());
    BOOST_TEST((call().result == outcome::ran));
    timers.advance(1s);
    BOOST_TEST((call().result == outcome::not_run));
    BOOST_TEST(upstream.request_count == 1);
}

} // namespace mulberry
