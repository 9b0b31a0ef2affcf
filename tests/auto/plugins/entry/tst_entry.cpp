#include "fakes/fakequarantine.h"
#include "fakes/ignoringobserver.h"
#include "fakes/virtualtimerservice.h"
#include "libs/base/asyncerror.h"
#include "plugins/calls/headerpolicy.h"
#include "plugins/entry/entryservice.h"
#include "plugins/retry/windowedretrybudget.h"

#include <deque>
#include <memory>
#include <set>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

/// Policy with a single route to the service "orders", which matches every request.
struct single_route_policy final : policy {
    std::variant<matched_route, refusal> match(std::string_view, std::string_view path, std::string_view) const override
    {
        matched_route matched;
        matched.service = "orders";
        matched.path = path;
        matched.rules = rules;
        matched.body_cap_bytes = 1000;
        matched.total_attempts = 4;
        matched.delivery_limit = 2;
        return matched;
    }
    bool has_service(std::string_view service) const override { return service == "orders"; }
    std::optional<std::string> organisation_of(std::string_view key) const override
    {
        return key == "good" ? std::optional<std::string>("school") : std::nullopt;
    }
    bool authorises(std::string_view, std::string_view) const override { return true; }
    bool keyed_requests_allowed() const override { return view_is_fresh; }
    std::int64_t revision() const override { return 3; }

    route rules;
    bool view_is_fresh = true;
};

struct fake_rate_limiter final : rate_limiter {
    void admit(std::string_view, std::function<void(std::optional<refusal>)> done) override
    {
        done(refused ? std::optional(not_run_refusal(refusal_reason::rate_exceeded)) : std::nullopt);
    }

    bool refused = false;
};

struct empty_directory final : member_directory {
    std::span<const member> members() const override { return {}; }
    std::span<const member> members_of(std::string_view) const override { return {}; }
    const member* find(std::string_view) const override { return nullptr; }
    void add_listener(member_listener&) override {}
    void remove_listener(member_listener&) override {}
};

/// Responds to each attempt with the next entry of a script. Attempts after the last entry get no response.
struct scripted_transport final : call_transport {
    explicit scripted_transport(timer_service& service) : timers(service) {}

    call_id send(std::string_view node, const call_request& request, call_callback done) override
    {
        calls.push_back(request);
        call_response response;
        if (limited.contains(node)) {
            response.reason = refusal_reason::upstream_limited;
            response.result = outcome::not_run;
            response.notice.rate_limit = 5;
        }
        else if (script.empty()) {
            return calls.size();
        }
        else {
            response = script.front();
            script.pop_front();
        }
        response.receiver = response.receiver.empty() ? std::string(node) : response.receiver;
        response.sequence = request.attempt.sequence;
        response.unused_retries = request.retries;
        timers.schedule(10ms, [response, done = std::move(done)] { done(response); });
        return calls.size();
    }
    void cancel(call_id) override { ++cancelled; }

    timer_service& timers;
    std::deque<call_response> script;
    std::vector<call_request> calls;
    /// Nodes that refuse all calls because their upstream limits its rate.
    std::set<std::string, std::less<>> limited;
    int cancelled = 0;
};

call_response make_refusal(refusal_reason reason, outcome result)
{
    call_response response;
    response.reason = reason;
    response.result = result;
    return response;
}

call_response make_response(int status = 200)
{
    call_response response;
    response.result = outcome::ran;
    response.status = status;
    return response;
}

struct entry_fixture {
    virtual_timer_service timers;
    seeded_random_source random{7};
    single_route_policy documents;
    fake_rate_limiter rates;
    entry_throttle throttle{{}, timers, random};
    downstream_monitor downstream{timers};
    bottleneck_throttle bottlenecks{{}, timers, random};
    upstream_selector selector{{}, "self", {"quay", "south"}, timers, random};
    empty_directory members;
    scripted_transport transport{timers};
    ignoring_observer observer;
    fake_quarantine quarantine;
    windowed_retry_budget_settings retry_bound{1, 20, 10s};
    double repeat_share = 0;
    std::unique_ptr<entry_service> entry;
    std::optional<caller_response> received_response;

    entry_fixture()
    {
        documents.rules.idempotent = true;
        documents.rules.deadline = 2s;
        std::vector<upstream_info> upstreams;
        for (const char* name : {"n1", "n2", "n3", "n4"})
            upstreams.push_back({name, 1, "orders", {"quay", "south"}, upstream_state::serving, timers.now() - 1h});
        selector.update(upstreams);
        entry_settings settings;
        settings.self = {"self", 1};
        settings.fields.caller_sets_request_id = true;
        settings.calling_service = "shop";
        settings.open_requests_are_nested = true;
        settings.status_implies_outcome = true;
        settings.fractional_retry_after = true;
        settings.make_retry_budget = [this] { return std::make_unique<windowed_retry_budget>(retry_bound, timers); };
        settings.upstream_repeat_share = [this] { return repeat_share; };
        entry = std::make_unique<entry_service>(
            settings, entry_dependencies{timers, random, random, documents, rates, throttle, selector, members,
                                         transport, observer, &downstream, &bottlenecks, &quarantine});
    }

    int send(header_list headers = {{"Authorization", "Bearer good"}, {"Mulberry-Request-Id", "r-9"}},
             duration time = 3s)
    {
        received_response.reset();
        caller_request request;
        request.method = "POST";
        request.path = "/a/x";
        request.headers = std::move(headers);
        entry->handle(std::move(request),
                      [this](caller_response response) { received_response = std::move(response); });
        timers.advance(time);
        return received_response ? received_response->status : 0;
    }
};

} // namespace

// A status that implies that the request has not run must not be sent for a request that may have run, and a request
// that has not run must get such a status.
BOOST_FIXTURE_TEST_CASE(statuses_imply_the_outcome, entry_fixture)
{
    documents.rules.idempotent = false;
    const std::vector<std::pair<call_response, int>> table{
        {make_refusal(refusal_reason::upstream_shed, outcome::unknown), 502},
        {make_refusal(refusal_reason::connection_lost, outcome::unknown), 502},
        {make_refusal(refusal_reason::deadline_expired, outcome::unknown), 504},
        {make_response(500), 500},
    };
    for (const auto& [response, status] : table) {
        transport.script = {response};
        BOOST_TEST(send() == status);
    }
    for (const refusal_reason reason : {refusal_reason::queue_full, refusal_reason::deadline_unreachable}) {
        transport.script = std::deque<call_response>(4, make_refusal(reason, outcome::not_run));
        BOOST_TEST(send() == 503);
        BOOST_TEST(!find_header(received_response->headers, "Retry-After").empty());
    }
}

// Guards against a request that is sent although it crashes upstreams, and against a refusal that doesn't say when to
// come back.
BOOST_FIXTURE_TEST_CASE(request_in_quarantine_is_sent, entry_fixture)
{
    quarantine.refuses_all = true;
    BOOST_TEST(send() == 503);
    BOOST_TEST(!find_header(received_response->headers, "Retry-After").empty());
    BOOST_TEST(transport.calls.empty());
}

// Guards against another attempt of a request that came into quarantine during the first, and against a refusal that
// says that it has not run.
BOOST_FIXTURE_TEST_CASE(request_that_came_into_quarantine_is_retried, entry_fixture)
{
    transport.script = {make_refusal(refusal_reason::connection_lost, outcome::unknown), make_response()};
    timers.schedule(5ms, [this] { quarantine.refuses_all = true; });
    BOOST_TEST(send() == 502);
    BOOST_TEST(transport.calls.size() == 1U);
}

// A request that is not idempotent must not run twice: it is retried only if the failed attempt has not run.
BOOST_FIXTURE_TEST_CASE(only_requests_that_have_not_run_are_retried, entry_fixture)
{
    documents.rules.idempotent = false;
    transport.script = {make_refusal(refusal_reason::connection_lost, outcome::unknown), make_response()};
    BOOST_TEST(send() == 502);
    BOOST_TEST(transport.calls.size() == 1U);
    transport.script = {make_refusal(refusal_reason::queue_full, outcome::not_run), make_response()};
    BOOST_TEST(send() == 200);
}

// Guards against refusing a request although an upstream without a limit has room, because all its attempts went to
// upstreams that limit their rate.
BOOST_FIXTURE_TEST_CASE(all_attempts_end_at_limited_upstreams, entry_fixture)
{
    transport.limited = {"n1", "n2", "n3"};
    for (int i = 0; i < 30; ++i)
        send(); // the entry learns the limits
    for (int i = 0; i < 60; ++i) {
        transport.script = {make_response()};
        BOOST_TEST(send() == 200);
    }
}

// Guards against an entry that does not pass on the limit of an upstream to its node, which may have restarted.
BOOST_FIXTURE_TEST_CASE(limit_is_not_passed_on_to_the_guard, entry_fixture)
{
    for (const char* name : {"n1", "n2", "n3", "n4"}) {
        call_response limited = make_response();
        limited.receiver = name;
        limited.notice.rate_limit = 2;
        transport.script.assign(1, limited);
        selector.update(std::vector{
            upstream_info{name, 1, "orders", {"quay", "south"}, upstream_state::serving, timers.now() - 1h}});
        send();
        transport.script = {make_response()};
        send();
        BOOST_TEST((transport.calls.back().notice.rate_limit == 2.0));
        transport.script = {make_response()};
        send();
        BOOST_TEST(!transport.calls.back().notice.rate_limit);
    }
}

// The address of a node that has left may be reused by another node. A refusal by that node proves that the request has
// not run, so it is retried; any other response of that node must not be accepted as the response to the request.
BOOST_FIXTURE_TEST_CASE(a_refusal_by_another_node_is_retried, entry_fixture)
{
    documents.rules.idempotent = false;
    call_response from_other_node = make_refusal(refusal_reason::upstream_unreachable, outcome::not_run);
    from_other_node.receiver = "other-node";
    transport.script = {from_other_node, make_response()};
    BOOST_TEST(send() == 200);
    BOOST_TEST(transport.calls.front().receiver != transport.calls.back().receiver);
    from_other_node = make_response();
    from_other_node.receiver = "other-node";
    transport.script = {from_other_node, make_response()};
    BOOST_TEST(send() == 502);
}

// Upstreams must not receive more attempts of a request than the route allows. Attempts that a guard refuses do not
// count, because no upstream receives them.
BOOST_FIXTURE_TEST_CASE(delivered_attempts_are_limited, entry_fixture)
{
    transport.script = std::deque<call_response>(4, make_refusal(refusal_reason::upstream_shed, outcome::not_run));
    BOOST_TEST(send() == 503);
    BOOST_TEST(transport.calls.size() == 2U);
    transport.calls.clear();
    transport.script = {make_refusal(refusal_reason::queue_full, outcome::not_run),
                        make_refusal(refusal_reason::upstream_shed, outcome::not_run), make_response()};
    BOOST_TEST(send() == 200);
    BOOST_TEST(transport.calls.size() == 3U);
}

// Requests whose downstream calls are refused for lack of capacity must be refused at the entry.
BOOST_FIXTURE_TEST_CASE(requests_are_throttled_for_a_downstream_bottleneck, entry_fixture)
{
    documents.rules.level = importance::background;
    call_response overloaded_downstream = make_response(500);
    overloaded_downstream.downstream = {{"workbench", 0.9F}};
    int throttled = 0;
    for (int request = 0; request < 60; ++request) {
        transport.script = {overloaded_downstream};
        throttled += send() == 503 ? 1 : 0;
    }
    BOOST_TEST(throttled > 0);
}

// Calls that had too little time left, found no upstream or were shed by the upstream itself must not be reported as a
// bottleneck, or entries would refuse requests that they should admit.
BOOST_FIXTURE_TEST_CASE(only_capacity_refusals_are_reported_as_bottleneck, entry_fixture)
{
    documents.rules.open = true;
    for (const refusal_reason reason :
         {refusal_reason::deadline_unreachable, refusal_reason::upstream_shed, refusal_reason::no_upstream}) {
        for (int call = 0; call < 60; ++call) {
            transport.script = std::deque<call_response>(4, make_refusal(reason, outcome::not_run));
            send({{"Mulberry-Request-Id", "r-9"}}, 10ms);
        }
    }
    BOOST_TEST(downstream.report().empty());
}

// A call that expires after it was refused for lack of capacity must be reported as refused. Otherwise a bottleneck
// whose refusals use up the time of all calls is never reported to the entries.
BOOST_FIXTURE_TEST_CASE(a_call_that_expires_after_a_capacity_refusal_is_reported, entry_fixture)
{
    documents.rules.open = true;
    documents.rules.deadline = 100ms;
    for (int call = 0; call < 20; ++call) {
        transport.script = {make_refusal(refusal_reason::queue_full, outcome::not_run)};
        BOOST_TEST(send({{"Mulberry-Request-Id", "r-9"}}, 110ms) == 504);
    }
    BOOST_TEST(downstream.report().size() == 1U);
}

// Requests beyond the rate limit of an organisation must not count as demand on a bottleneck. If they did, a flood of
// such requests would hide the share of admissible requests that must be refused.
BOOST_FIXTURE_TEST_CASE(requests_beyond_the_rate_do_not_count_as_demand, entry_fixture)
{
    const std::vector<downstream_load> full{{"workbench", 0.4F}};
    for (int request = 0; request < 200; ++request) {
        bottlenecks.observe("orders/" + documents.rules.name, true, full);
        rates.refused = request % 10 != 0;
        transport.script = {make_response()};
        send({{"Authorization", "Bearer good"}, {"Mulberry-Request-Id", "r-9"}}, 20ms);
    }
    // All requests within the rate limit have the same importance, so every refused request is one of them.
    const double admitted_share = bottlenecks.current_admitted_share("orders/" + documents.rules.name,
                                                                     {documents.rules.level, documents.rules.level});
    BOOST_TEST(admitted_share < 0.6);
}

// Calls of the upstream must not be refused because of a bottleneck, and the node must report the refusals that these
// calls get.
BOOST_FIXTURE_TEST_CASE(calls_of_the_upstream_are_not_throttled_but_reported, entry_fixture)
{
    documents.rules.open = true;
    for (int call = 0; call < 60; ++call) {
        transport.script = std::deque<call_response>(4, make_refusal(refusal_reason::queue_full, outcome::not_run));
        send({{"Mulberry-Request-Id", "r-9"}}, 10ms);
    }
    BOOST_TEST(transport.calls.size() >= 60U);
    const auto report = downstream.report();
    BOOST_REQUIRE(report.size() == 1U);
    BOOST_TEST(report.front().service == "orders");
}

// A request must not fail because the only upstream had no free capacity at the first attempt.
BOOST_FIXTURE_TEST_CASE(a_full_upstream_is_tried_again_if_there_is_no_other, entry_fixture)
{
    selector.update(
        std::vector<upstream_info>{{"n1", 1, "orders", {"quay", "south"}, upstream_state::serving, timers.now() - 1h}});
    transport.script = {make_refusal(refusal_reason::queue_full, outcome::not_run), make_response()};
    BOOST_TEST(send() == 200);
    // A request that may have run is not sent to the same upstream again.
    transport.script = {make_refusal(refusal_reason::connection_lost, outcome::unknown), make_response()};
    BOOST_TEST(send() != 200);
}

// Retries of attempts that no upstream received must not be refused for lack of retry budget.
BOOST_FIXTURE_TEST_CASE(retries_after_guard_refusals_need_no_budget, entry_fixture)
{
    retry_bound.ratio = 0;
    retry_bound.slack = 0;
    transport.script = {make_refusal(refusal_reason::queue_full, outcome::not_run), make_response()};
    BOOST_TEST(send() == 200);
    transport.script = {make_refusal(refusal_reason::upstream_shed, outcome::not_run), make_response()};
    BOOST_TEST(send() == 503);
}

// Retries at several hops multiply unless every node counts them. Each retry must therefore be marked, and so must the
// calls that an upstream makes while it handles retries.
BOOST_FIXTURE_TEST_CASE(retries_are_marked, entry_fixture)
{
    transport.script = {make_refusal(refusal_reason::upstream_shed, outcome::not_run), make_response()};
    send();
    BOOST_REQUIRE(transport.calls.size() == 2U);
    BOOST_TEST(transport.calls[0].repeat_share == 0.0F);
    BOOST_TEST(transport.calls[1].repeat_share == 1.0F);
    // No upstream receives an attempt that a guard refuses, so the next attempt does not count as a retry.
    transport.calls.clear();
    transport.script = {make_refusal(refusal_reason::queue_full, outcome::not_run), make_response()};
    send();
    BOOST_REQUIRE(transport.calls.size() == 2U);
    BOOST_TEST(transport.calls[1].repeat_share == 0.0F);
    transport.calls.clear();
    documents.rules.open = true;
    repeat_share = 0.5;
    transport.script = {make_response()};
    send({{"Mulberry-Request-Id", "r-9"}});
    BOOST_REQUIRE(transport.calls.size() == 1U);
    BOOST_TEST(transport.calls[0].repeat_share == 0.5F);
}

// A request must get its response within the route's timeout, and the attempt in progress is cancelled then.
BOOST_FIXTURE_TEST_CASE(the_timeout_ends_a_request, entry_fixture)
{
    BOOST_TEST(send() == 504);
    BOOST_TEST(transport.cancelled == 1);
}

// Requests must be refused if the key is unknown or missing, or if the view of the keys may lack a withdrawal.
BOOST_FIXTURE_TEST_CASE(keys_are_checked, entry_fixture)
{
    BOOST_TEST(send({{"Authorization", "Bearer bad"}}) == 401);
    BOOST_TEST(send({}) == 401);
    documents.view_is_fresh = false;
    BOOST_TEST(send() == 503);
    BOOST_TEST(transport.calls.empty());
}

// A call must name the service that makes it and keep the caller's request id.
BOOST_FIXTURE_TEST_CASE(the_call_names_its_origin, entry_fixture)
{
    transport.script = {make_response()};
    BOOST_TEST(send() == 200);
    BOOST_TEST(transport.calls[0].calling_service == "shop");
    BOOST_TEST(transport.calls[0].request_id == "r-9");
    BOOST_TEST(find_header(received_response->headers, "Mulberry-Request-Id") == "r-9");
    BOOST_TEST(find_header(transport.calls[0].headers, "Authorization").empty());
}

// Guards against requests that are taken late in a planned stop and cut at its end: a request is handed on only if its
// deadline is before the end, and is refused as not run otherwise.
BOOST_FIXTURE_TEST_CASE(a_stopping_entry_takes_only_requests_that_can_end, entry_fixture)
{
    entry->begin_stopping(timers.now() + 3s);
    // The deadline of 2 s is before the end of the stop.
    transport.script = {make_response()};
    BOOST_TEST(send() == 200);
    // Its time has passed since, so that the next request could be cut.
    BOOST_TEST(send() == 503);
    BOOST_TEST(!find_header(received_response->headers, "Retry-After").empty());
    BOOST_TEST(received_response->body.view().find("\"not_run\":true") != std::string::npos);
    BOOST_TEST(transport.calls.size() == 1U);
}

} // namespace mulberry
