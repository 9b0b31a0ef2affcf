#include "fakes/virtualtimerservice.h"
#include "libs/base/asyncerror.h"
#include "plugins/calls/headerpolicy.h"
#include "plugins/entry/entryservice.h"
#include "plugins/retry/windowedretrybudget.h"

#include <deque>
#include <memory>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

/// One route, "/a/", of the service "orders".
struct one_route final : policy {
    std::variant<matched_route, refusal> match(std::string_view, std::string_view path, std::string_view) const override
    {
        matched_route matched;
        matched.service = "orders";
        matched.path = path;
        matched.rules = rules;
        matched.body_cap_bytes = 1000;
        matched.total_attempts = 4;
        matched.most_arrivals = 2;
        return matched;
    }
    bool has_service(std::string_view service) const override { return service == "orders"; }
    std::optional<std::string> organisation_of(std::string_view key) const override
    {
        return key == "good" ? std::optional<std::string>("school") : std::nullopt;
    }
    bool authorises(std::string_view, std::string_view) const override { return true; }
    bool keyed_requests_allowed() const override { return fresh; }
    std::int64_t revision() const override { return 3; }

    route rules;
    bool fresh = true;
};

struct no_limit final : rate_limiter {
    void admit(std::string_view, std::function<void(std::optional<refusal>)> done) override
    {
        done(refused ? std::optional(not_run(refusal_reason::rate_exceeded)) : std::nullopt);
    }

    bool refused = false;
};

struct no_members final : member_directory {
    std::span<const member> members() const override { return {}; }
    std::span<const member> members_of(std::string_view) const override { return {}; }
    const member* find(std::string_view) const override { return nullptr; }
    void add_listener(member_listener&) override {}
    void remove_listener(member_listener&) override {}
};

struct silent_observer final : request_observer {
    void on_finished(const decision_record&) override {}
    void on_retry_decision(refusal_reason, std::optional<retry_refusal>) override {}
};

/// Answers each attempt with the next entry of a script; beyond its end attempts stay open.
struct scripted_transport final : call_transport {
    explicit scripted_transport(timer_service& service) : timers(service) {}

    call_id send(std::string_view node, const call_request& request, call_callback done) override
    {
        calls.push_back(request);
        if (script.empty())
            return calls.size();
        call_answer answer = script.front();
        script.pop_front();
        answer.receiver = answer.receiver.empty() ? std::string(node) : answer.receiver;
        answer.sequence = request.attempt.sequence;
        answer.unused_retries = request.retries;
        timers.schedule(10ms, [answer, done = std::move(done)] { done(answer); });
        return calls.size();
    }
    void cancel(call_id) override { ++cancelled; }

    timer_service& timers;
    std::deque<call_answer> script;
    std::vector<call_request> calls;
    int cancelled = 0;
};

call_answer refused(refusal_reason reason, outcome result)
{
    call_answer answer;
    answer.reason = reason;
    answer.result = result;
    return answer;
}

call_answer served(int status = 200)
{
    call_answer answer;
    answer.result = outcome::ran;
    answer.status = status;
    return answer;
}

struct entry_fixture {
    virtual_timer_service timers;
    seeded_random_source random{7};
    one_route documents;
    no_limit rates;
    entry_throttle throttle{{}, timers, random};
    downstream_monitor downstream{timers};
    bottleneck_throttle bottlenecks{{}, timers, random};
    upstream_selector selector{{}, "self", {"quay", "south"}, timers, random};
    no_members members;
    scripted_transport transport{timers};
    silent_observer observer;
    windowed_retry_budget_settings retry_bound{1, 20, 10s};
    double repeat_share = 0;
    std::unique_ptr<entry_service> entry;
    std::optional<caller_answer> answer;

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
        settings.status_tells_outcome = true;
        settings.fractional_retry_after = true;
        settings.make_retry_budget = [this] { return std::make_unique<windowed_retry_budget>(retry_bound, timers); };
        settings.upstream_repeat_share = [this] { return repeat_share; };
        entry = std::make_unique<entry_service>(settings, entry_parts{timers, random, random, documents, rates,
                                                                      throttle, selector, members, transport, observer,
                                                                      &downstream, &bottlenecks});
    }

    int send(header_list headers = {{"Authorization", "Bearer good"}, {"Mulberry-Request-Id", "r-9"}},
             duration time = 3s)
    {
        answer.reset();
        caller_request request;
        request.method = "POST";
        request.path = "/a/x";
        request.headers = std::move(headers);
        entry->handle(std::move(request), [this](caller_answer given) { answer = std::move(given); });
        timers.advance(time);
        return answer ? answer->status : 0;
    }
};

} // namespace

// Guards against a status that promises "not run" for a request that may have run, and the other way round.
BOOST_FIXTURE_TEST_CASE(statuses_keep_their_promise, entry_fixture)
{
    documents.rules.idempotent = false;
    const std::vector<std::pair<call_answer, int>> table{
        {refused(refusal_reason::upstream_shed, outcome::unknown), 502},
        {refused(refusal_reason::connection_lost, outcome::unknown), 502},
        {refused(refusal_reason::deadline_expired, outcome::unknown), 504},
        {served(500), 500},
    };
    for (const auto& [given, status] : table) {
        transport.script = {given};
        BOOST_TEST(send() == status);
    }
    for (const refusal_reason reason : {refusal_reason::queue_full, refusal_reason::deadline_unreachable}) {
        transport.script = std::deque<call_answer>(4, refused(reason, outcome::not_run));
        BOOST_TEST(send() == 503);
        BOOST_TEST(!find_header(answer->headers, "Retry-After").empty());
    }
}

// Guards against a second run of a request that is not idempotent.
BOOST_FIXTURE_TEST_CASE(only_what_has_not_run_is_repeated, entry_fixture)
{
    documents.rules.idempotent = false;
    transport.script = {refused(refusal_reason::connection_lost, outcome::unknown), served()};
    BOOST_TEST(send() == 502);
    BOOST_TEST(transport.calls.size() == 1U);
    transport.script = {refused(refusal_reason::queue_full, outcome::not_run), served()};
    BOOST_TEST(send() == 200);
}

// Guards against requests that are lost because another node has the address of one that has gone. Its refusal is
// certain; what it ran without being meant is not an answer.
BOOST_FIXTURE_TEST_CASE(a_refusal_of_another_node_is_repeated, entry_fixture)
{
    documents.rules.idempotent = false;
    call_answer stranger = refused(refusal_reason::upstream_unreachable, outcome::not_run);
    stranger.receiver = "stranger";
    transport.script = {stranger, served()};
    BOOST_TEST(send() == 200);
    BOOST_TEST(transport.calls.front().receiver != transport.calls.back().receiver);
    stranger = served();
    stranger.receiver = "stranger";
    transport.script = {stranger, served()};
    BOOST_TEST(send() == 502);
}

// Guards against more arrivals at upstreams than the route allows; refusals of guards are no arrivals.
BOOST_FIXTURE_TEST_CASE(arrivals_are_bounded, entry_fixture)
{
    transport.script = std::deque<call_answer>(4, refused(refusal_reason::upstream_shed, outcome::not_run));
    BOOST_TEST(send() == 503);
    BOOST_TEST(transport.calls.size() == 2U);
    transport.calls.clear();
    transport.script = {refused(refusal_reason::queue_full, outcome::not_run),
                        refused(refusal_reason::upstream_shed, outcome::not_run), served()};
    BOOST_TEST(send() == 200);
    BOOST_TEST(transport.calls.size() == 3U);
}

// Guards against entries that admit requests whose calls are then refused deep in the graph.
BOOST_FIXTURE_TEST_CASE(callers_requests_give_way_to_a_bottleneck_below, entry_fixture)
{
    documents.rules.level = importance::background;
    call_answer short_of_room = served(500);
    short_of_room.downstream = {{"workbench", 0.9F}};
    int throttled = 0;
    for (int request = 0; request < 60; ++request) {
        transport.script = {short_of_room};
        throttled += send() == 503 ? 1 : 0;
    }
    BOOST_TEST(throttled > 0);
}

// Guards against entries that refuse requests because calls had too little time left or were shed by the upstream
// itself.
BOOST_FIXTURE_TEST_CASE(only_a_lack_of_room_makes_a_bottleneck, entry_fixture)
{
    documents.rules.open = true;
    for (const refusal_reason reason :
         {refusal_reason::deadline_unreachable, refusal_reason::upstream_shed, refusal_reason::no_upstream}) {
        for (int call = 0; call < 60; ++call) {
            transport.script = std::deque<call_answer>(4, refused(reason, outcome::not_run));
            send({{"Mulberry-Request-Id", "r-9"}}, 10ms);
        }
    }
    BOOST_TEST(downstream.report().empty());
}

// Guards against a bottleneck that no entry hears of because its refusals take up all the time of the calls.
BOOST_FIXTURE_TEST_CASE(a_call_that_expires_after_a_refusal_found_no_room, entry_fixture)
{
    documents.rules.open = true;
    documents.rules.deadline = 100ms;
    for (int call = 0; call < 20; ++call) {
        transport.script = {refused(refusal_reason::queue_full, outcome::not_run)};
        BOOST_TEST(send({{"Mulberry-Request-Id", "r-9"}}, 110ms) == 504);
    }
    BOOST_TEST(downstream.report().size() == 1U);
}

// Guards against requests beyond a rate that count as demand on a bottleneck, so that a flood of one organisation hides
// what must be refused.
BOOST_FIXTURE_TEST_CASE(requests_beyond_the_rate_are_no_demand, entry_fixture)
{
    const std::vector<downstream_load> full{{"workbench", 0.4F}};
    for (int request = 0; request < 200; ++request) {
        bottlenecks.observe("orders/" + documents.rules.name, true, full);
        rates.refused = request % 10 != 0;
        transport.script = {served()};
        send({{"Authorization", "Bearer good"}, {"Mulberry-Request-Id", "r-9"}}, 20ms);
    }
    // All requests within the rate are of one rank, so that the refused part of the demand is theirs.
    const double part =
        bottlenecks.admitted_part("orders/" + documents.rules.name, {documents.rules.level, documents.rules.level});
    BOOST_TEST(part < 0.6);
}

// Guards against calls of the upstream that are refused for a bottleneck, and against a node that doesn't report what
// they met.
BOOST_FIXTURE_TEST_CASE(calls_of_the_upstream_are_not_throttled_but_reported, entry_fixture)
{
    documents.rules.open = true;
    for (int call = 0; call < 60; ++call) {
        transport.script = std::deque<call_answer>(4, refused(refusal_reason::queue_full, outcome::not_run));
        send({{"Mulberry-Request-Id", "r-9"}}, 10ms);
    }
    BOOST_TEST(transport.calls.size() >= 60U);
    const auto report = downstream.report();
    BOOST_REQUIRE(report.size() == 1U);
    BOOST_TEST(report.front().service == "orders");
}

// Guards against giving up a request because the only upstream was full a moment ago.
BOOST_FIXTURE_TEST_CASE(a_full_upstream_is_tried_again_if_there_is_no_other, entry_fixture)
{
    selector.update(
        std::vector<upstream_info>{{"n1", 1, "orders", {"quay", "south"}, upstream_state::serving, timers.now() - 1h}});
    transport.script = {refused(refusal_reason::queue_full, outcome::not_run), served()};
    BOOST_TEST(send() == 200);
    // One that may have run is not sent to the same upstream again.
    transport.script = {refused(refusal_reason::connection_lost, outcome::unknown), served()};
    BOOST_TEST(send() != 200);
}

// Guards against retries that are refused for lack of budget although no upstream got the attempt.
BOOST_FIXTURE_TEST_CASE(refusals_of_guards_need_no_budget, entry_fixture)
{
    retry_bound.ratio = 0;
    retry_bound.slack = 0;
    transport.script = {refused(refusal_reason::queue_full, outcome::not_run), served()};
    BOOST_TEST(send() == 200);
    transport.script = {refused(refusal_reason::upstream_shed, outcome::not_run), served()};
    BOOST_TEST(send() == 503);
}

// Guards against retries below retries that no node counts: a repeated attempt says so, and so do the calls that an
// upstream makes while it runs repeated requests.
BOOST_FIXTURE_TEST_CASE(repetitions_are_marked, entry_fixture)
{
    transport.script = {refused(refusal_reason::upstream_shed, outcome::not_run), served()};
    send();
    BOOST_REQUIRE(transport.calls.size() == 2U);
    BOOST_TEST(transport.calls[0].repeat_share == 0.0F);
    BOOST_TEST(transport.calls[1].repeat_share == 1.0F);
    // A guard's refusal is no arrival, so the next attempt is the first.
    transport.calls.clear();
    transport.script = {refused(refusal_reason::queue_full, outcome::not_run), served()};
    send();
    BOOST_REQUIRE(transport.calls.size() == 2U);
    BOOST_TEST(transport.calls[1].repeat_share == 0.0F);
    transport.calls.clear();
    documents.rules.open = true;
    repeat_share = 0.5;
    transport.script = {served()};
    send({{"Mulberry-Request-Id", "r-9"}});
    BOOST_REQUIRE(transport.calls.size() == 1U);
    BOOST_TEST(transport.calls[0].repeat_share == 0.5F);
}

// Guards against an answer after the route's timeout, and against work that goes on after it.
BOOST_FIXTURE_TEST_CASE(the_timeout_ends_a_request, entry_fixture)
{
    BOOST_TEST(send() == 504);
    BOOST_TEST(transport.cancelled == 1);
}

// Guards against keys that are unknown, missing, or checked under a view that may lack a withdrawal.
BOOST_FIXTURE_TEST_CASE(keys_are_checked, entry_fixture)
{
    BOOST_TEST(send({{"Authorization", "Bearer bad"}}) == 401);
    BOOST_TEST(send({}) == 401);
    documents.fresh = false;
    BOOST_TEST(send() == 503);
    BOOST_TEST(transport.calls.empty());
}

// Guards against a call that does not say where it comes from or loses the caller's id.
BOOST_FIXTURE_TEST_CASE(the_call_names_its_origin, entry_fixture)
{
    transport.script = {served()};
    BOOST_TEST(send() == 200);
    BOOST_TEST(transport.calls[0].calling_service == "shop");
    BOOST_TEST(transport.calls[0].request_id == "r-9");
    BOOST_TEST(find_header(answer->headers, "Mulberry-Request-Id") == "r-9");
    BOOST_TEST(find_header(transport.calls[0].headers, "Authorization").empty());
}

} // namespace mulberry
