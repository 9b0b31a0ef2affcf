#include "fakes/fakeupstream.h"
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

class ignoring_observer final : public request_observer {
public:
    void on_finished(const decision_record&) override {}
    void on_retry_decision(refusal_reason, std::optional<retry_refusal>) override {}
};

struct guard_fixture {
    virtual_timer_service timers;
    seeded_random_source random{5};
    fake_upstream upstream{timers, random};
    ignoring_observer observer;
    guard_settings settings = make_settings();
    guard_service guard{settings, timers, random, upstream, observer};
    std::vector<call_answer> answers;
    int runs = 0;

    guard_fixture()
    {
        upstream.on_run([this](const http_request&) { ++runs; });
    }

    static guard_settings make_settings()
    {
        guard_settings made;
        made.self = {"orders-1", 4};
        made.service = "orders";
        made.upstream_url = "http://upstream";
        made.admission.slots = 2;
        made.admission.learn_limit = false;
        return made;
    }

    static call_request request(std::uint64_t sequence)
    {
        call_request made;
        made.attempt = {{"entry-1", 1}, sequence};
        made.organisation = "kiosk";
        made.service = "orders";
        made.remaining = 2s;
        made.method = "POST";
        made.path = "/place";
        made.headers = {{"Authorization", "Bearer secret"}, {"Mulberry-Organisation", "other"}};
        made.body = "flute";
        return made;
    }

    void handle(const call_request& call)
    {
        guard.handle("entry-1", call, [this](call_answer answer) { answers.push_back(std::move(answer)); });
    }

    call_answer only_answer()
    {
        BOOST_REQUIRE(answers.size() == 1U);
        return answers.front();
    }
};

} // namespace

// Guards against calls for a node that has gone, which reach another one at its address: the sender knows nothing of
// the upstream there.
BOOST_FIXTURE_TEST_CASE(calls_for_another_node_do_not_run, guard_fixture)
{
    call_request call = request(1);
    call.receiver = "orders-7";
    handle(call);
    BOOST_TEST((only_answer().result == outcome::not_run));
    BOOST_TEST((only_answer().reason == refusal_reason::upstream_unreachable));
    call = request(2);
    call.receiver = "orders-1";
    handle(call);
    timers.advance(1s);
    BOOST_TEST(runs == 1);
}

// Guards against a sender that claims another name, and against a call for another service.
BOOST_FIXTURE_TEST_CASE(misdirected_calls_do_not_run, guard_fixture)
{
    call_request other_sender = request(1);
    other_sender.attempt.sender.name = "entry-2";
    handle(other_sender);
    call_request other_service = request(2);
    other_service.service = "stores";
    handle(other_service);
    timers.advance(1s);
    BOOST_REQUIRE(answers.size() == 2U);
    for (const call_answer& answer : answers)
        BOOST_TEST((answer.result == outcome::not_run));
    BOOST_TEST(runs == 0);
}

// Guards against a key that reaches the upstream and against an identity that a caller made up.
BOOST_FIXTURE_TEST_CASE(upstream_gets_identity_but_no_key, guard_fixture)
{
    handle(request(1));
    timers.advance(1s);
    BOOST_TEST((only_answer().result == outcome::ran));
    BOOST_TEST(find_header(upstream.last_headers(), "authorization").empty());
    BOOST_TEST(find_header(upstream.last_headers(), organisation_header) == "kiosk");
    BOOST_TEST(find_header(upstream.last_headers(), context_header).size() == 32U);
}

// Guards against a doubled message that runs twice, while the first copy runs and after it.
BOOST_FIXTURE_TEST_CASE(doubled_message_runs_once, guard_fixture)
{
    handle(request(1));
    handle(request(1));
    timers.advance(1s);
    handle(request(1));
    timers.advance(1s);
    BOOST_TEST(runs == 1);
    BOOST_REQUIRE(answers.size() == 3U);
    BOOST_TEST((answers[0].reason == refusal_reason::duplicate_attempt));
    BOOST_TEST((answers[0].result == outcome::unknown));
}

// Guards against a call that overtakes nothing but arrives after its cancel, and then runs.
BOOST_FIXTURE_TEST_CASE(cancel_before_the_call_prevents_it, guard_fixture)
{
    guard.cancel(request(1).attempt);
    handle(request(1));
    timers.advance(1s);
    BOOST_TEST(runs == 0);
}

// Guards against a waiting call that runs after it was cancelled, and against a slot that leaks.
BOOST_FIXTURE_TEST_CASE(cancelled_waiting_call_never_runs, guard_fixture)
{
    upstream.set_faults({.service_time = 50ms});
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence)
        handle(request(sequence));
    timers.run_due();
    guard.cancel(request(3).attempt);
    timers.advance(1s);
    BOOST_TEST(runs == 2);
    BOOST_TEST(answers.size() == 2U);
    BOOST_TEST(guard.in_progress() == 0U);
}

// Guards against claims about a request that may have reached the upstream.
BOOST_FIXTURE_TEST_CASE(outcome_follows_what_the_upstream_got, guard_fixture)
{
    struct row {
        upstream_faults faults{};
        outcome result{};
        refusal_reason reason{};
    };
    const std::array rows{
        row{{.unreachable = 1}, outcome::not_run, refusal_reason::upstream_unreachable},
        row{{.lost_answer = 1}, outcome::unknown, refusal_reason::connection_lost},
        row{{.service_time = 10s}, outcome::unknown, refusal_reason::deadline_expired},
    };
    std::uint64_t sequence = 0;
    for (const row& expected : rows) {
        answers.clear();
        upstream.set_faults(expected.faults);
        handle(request(++sequence));
        timers.advance(5s);
        const call_answer answer = only_answer();
        BOOST_TEST((answer.result == expected.result));
        BOOST_TEST((answer.reason == expected.reason));
    }
}

// Guards against a second run under one idempotency key, whether the answer is known, lost or not there yet.
BOOST_FIXTURE_TEST_CASE(idempotency_key_runs_once, guard_fixture)
{
    for (const bool lose_answer : {false, true}) {
        upstream.set_faults({.lost_answer = lose_answer ? 1.0 : 0.0});
        runs = 0;
        answers.clear();
        const std::string key = to_string(make_idempotency_key(settings.self, guard.once_epoch(), random));
        const std::uint64_t first = lose_answer ? 10 : 1;
        for (std::uint64_t repeat = 0; repeat < 4; ++repeat) {
            call_request call = request(first + repeat);
            call.idempotency_key = key;
            handle(call);
            timers.advance(repeat == 0 ? 1ms : 1s);
        }
        BOOST_TEST(runs == 1);
        BOOST_REQUIRE(answers.size() == 4U);
        BOOST_TEST((answers[0].reason == refusal_reason::idempotency_running));
        BOOST_TEST(answers[3].replayed == !lose_answer);
        BOOST_TEST((answers[3].result == (lose_answer ? outcome::unknown : outcome::ran)));
    }
}

// Guards against work for an upstream that has left, and against a planned stop that cuts what was sent before.
BOOST_FIXTURE_TEST_CASE(leaving_upstream_finishes_but_takes_nothing_new, guard_fixture)
{
    upstream.set_faults({.service_time = 1500ms});
    handle(request(1));
    guard.begin_leaving();
    timers.advance(1s);
    handle(request(2)); // sent before its sender knew
    timers.advance(2s);
    handle(request(3));
    timers.advance(2s);
    BOOST_TEST(runs == 2);
    BOOST_REQUIRE(answers.size() == 3U);
    int refused = 0;
    for (const call_answer& answer : answers)
        refused += answer.reason == refusal_reason::leaving && answer.result == outcome::not_run ? 1 : 0;
    BOOST_TEST(refused == 1);
    BOOST_TEST(guard.in_progress() == 0U);
}

// Guards against nested calls for a call that has ended, and against a token that can be guessed from another.
BOOST_FIXTURE_TEST_CASE(context_lives_as_long_as_its_call, guard_fixture)
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

// Guards against a sender whose numbers jump far ahead, so that old numbers would be accepted again.
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

// Guards against memory that grows with every sender that was ever seen.
BOOST_AUTO_TEST_CASE(attempt_filter_forgets_silent_senders)
{
    virtual_timer_service timers;
    attempt_filter filter(timers);
    for (std::uint64_t run = 1; run <= 50; ++run)
        filter.accept({{"entry-1", run}, 1});
    timers.advance(11min);
    filter.accept({{"entry-1", 51}, 1});
    BOOST_TEST(filter.senders() == 1U);
}

namespace {

/// Answers every request with the same answer.
struct fixed_upstream final : http_client {
    http_call_id send(http_request request, http_callback done) override
    {
        last = std::move(request);
        ++requests;
        done(answer);
        return 1;
    }
    void cancel(http_call_id) override {}

    http_answer answer{200, {}, "ok"};
    http_request last;
    int requests = 0;
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
        guard_settings made = guard_fixture::make_settings();
        made.dynamic_upstream = true;
        made.upstream_leaving_grace = 1s;
        made.fields.expected_instance = "Instance";
        made.fields.not_executed = "Not-Run";
        made.fields.calling_service = "Caller";
        made.fields.forwards_host = true;
        made.downstream_report = [] { return std::vector{downstream_load{"workbench", 0.5F}}; };
        return made;
    }

    void announce(std::optional<time_point> leaving_since = std::nullopt)
    {
        guard.set_upstream({true, "i-1", "orders", 4, leaving_since});
    }

    call_answer call(std::string service = "orders")
    {
        call_request request = guard_fixture::request(++sequence);
        request.service = std::move(service);
        request.calling_service = "shop";
        request.headers = {{"Host", "h.example"}, {"Instance", "forged"}, {"Caller", "forged"}};
        call_answer given;
        guard.handle("entry-1", std::move(request), [&](call_answer answer) { given = std::move(answer); });
        timers.advance(1ms);
        return given;
    }
};

} // namespace

// Guards against work for an upstream that nobody has announced, or of another service at the same address.
BOOST_FIXTURE_TEST_CASE(only_an_announced_upstream_gets_work, announced_fixture)
{
    BOOST_TEST((call().result == outcome::not_run));
    announce();
    BOOST_TEST((call().result == outcome::ran));
    BOOST_TEST((call("stores").result == outcome::not_run));
    BOOST_TEST(upstream.requests == 1);
}

// Guards against senders that do not hear of the lack of room further down; a call that did not run tells nothing of
// it.
BOOST_FIXTURE_TEST_CASE(answers_that_ran_report_the_services_below, announced_fixture)
{
    BOOST_TEST(call().downstream.empty());
    announce();
    const auto reported = call().downstream;
    BOOST_REQUIRE(reported.size() == 1U);
    BOOST_TEST(reported.front().service == "workbench");
}

// Guards against an upstream that is kept so full that it slows down.
BOOST_FIXTURE_TEST_CASE(part_of_the_announced_slots_stays_free, announced_fixture)
{
    guard_settings settings = make_settings();
    settings.slot_share = 0.9;
    guard_service careful{settings, timers, random, upstream, observer};
    careful.set_upstream({true, "i-1", "orders", 40, std::nullopt});
    BOOST_TEST(careful.admission().concurrency_limit() == 36U);
    careful.set_upstream({true, "i-2", "orders", 1, std::nullopt});
    BOOST_TEST(careful.admission().concurrency_limit() == 1U);
}

// Guards against identities that a caller made up, and against a request for another run of the upstream.
BOOST_FIXTURE_TEST_CASE(the_upstream_gets_the_identities_of_this_node, announced_fixture)
{
    announce();
    call();
    BOOST_TEST(find_header(upstream.last.headers, "Instance") == "i-1");
    BOOST_TEST(find_header(upstream.last.headers, "Caller") == "shop");
    BOOST_TEST(find_header(upstream.last.headers, "Host") == "h.example");
}

// Guards against a refusal of the upstream that counts as a run, and against further requests to its successor.
BOOST_FIXTURE_TEST_CASE(refusals_of_the_upstream_have_not_run, announced_fixture)
{
    announce();
    upstream.answer = {503, {{"Not-Run", "1"}}, ""};
    BOOST_TEST((call().result == outcome::not_run));
    upstream.answer = {503, {}, ""};
    BOOST_TEST((call().result == outcome::ran));
    upstream.answer = {421, {}, ""};
    BOOST_TEST((call().result == outcome::not_run));
    BOOST_TEST((call().result == outcome::not_run));
    BOOST_TEST(upstream.requests == 3);
    announce();
    upstream.answer = {200, {}, "ok"};
    BOOST_TEST((call().result == outcome::ran));
}

// Guards against new work for an upstream later than its leaving allows.
BOOST_FIXTURE_TEST_CASE(a_leaving_upstream_gets_no_work_after_the_grace, announced_fixture)
{
    announce(timers.now());
    BOOST_TEST((call().result == outcome::ran));
    timers.advance(1s);
    BOOST_TEST((call().result == outcome::not_run));
    BOOST_TEST(upstream.requests == 1);
}

} // namespace mulberry
