#include "libs/store/etcdstore.h"

#include "fakes/virtualtimerservice.h"
#include "libs/base/asyncerror.h"
#include "libs/store/gatewaycodec.h"
#include "scriptedhttpclient.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace mulberry {

namespace {

const std::string first_url = "http://a:1";
const std::string second_url = "http://b:2";

std::string header(int revision)
{
    return fmt::format(R"("header":{{"cluster_id":"7","revision":"{}"}})", revision);
}

std::string entry(const std::string& key, const std::string& value, int revision)
{
    return fmt::format(R"({{"key":"{}","value":"{}","mod_revision":"{}","version":"1"}})", gateway::to_base64(key),
                       gateway::to_base64(value), revision);
}

std::string range_body(int revision, const std::string& entries)
{
    return fmt::format(R"({{{},"kvs":[{}],"count":"1"}})", header(revision), entries);
}

std::string put_body(int revision)
{
    return fmt::format(R"({{{0},"succeeded":true,"responses":[{{"response_put":{{{0}}}}}]}})", header(revision));
}

std::string conflict_body(int revision, const std::string& entries)
{
    return fmt::format(R"({{{},"responses":[{{"response_range":{{"kvs":[{}]}}}}]}})", header(revision), entries);
}

std::string error_body(int code, const std::string& message)
{
    return fmt::format(R"({{"error":"{1}","code":{0},"message":"{1}"}})", code, message);
}

std::string watch_body(int revision, const std::string& events)
{
    return fmt::format(R"({{"result":{{{},"watch_id":"0","events":[{}]}}}})", header(revision), events) + "\n";
}

scripted_response body_response(const std::string& body)
{
    return {std::nullopt, 200, body};
}

scripted_response error_response(http_error error)
{
    return {error, 0, {}};
}

/// Returns "ok" or the name of the error.
template <typename Result>
std::string outcome_of(leaf::result<Result> result)
{
    if (result)
        return "ok";
    return std::string(to_string(error_of(std::move(result), store_error::bad_answer)));
}

struct etcd_fixture {
    virtual_timer_service timers;
    scripted_http_client http{timers};
    etcd_store store{http, timers, {{first_url, second_url}, std::chrono::seconds(2)}};
    /// Outcomes in the order of the callbacks.
    std::vector<std::string> outcomes;
    /// Events of the watch, as "key=value" or, for a deletion, "key-".
    std::vector<std::string> reported_events;

    template <typename Result>
    std::function<void(leaf::result<Result>)> record_outcome()
    {
        return [this](leaf::result<Result> result) { outcomes.push_back(outcome_of(std::move(result))); };
    }

    /// Runs one call of the given kind and returns its outcome.
    std::string run_call(const std::string& kind)
    {
        outcomes.clear();
        const std::map<std::string, std::function<void()>> calls{
            {"get", [this] { store.get("key", record_outcome<range_result>()); }},
            {"range", [this] { store.range("k", record_outcome<range_result>()); }},
            {"put", [this] { store.put_if("key", 5, "value", 0, record_outcome<put_result>()); }},
            {"remove", [this] { store.remove_if("key", 5, record_outcome<put_result>()); }},
            {"grant", [this] { store.grant_lease(std::chrono::milliseconds(9500), record_outcome<lease_id>()); }},
            {"keep_alive", [this] { store.keep_alive(77, record_outcome<void>()); }},
        };
        calls.at(kind)();
        BOOST_TEST(outcomes.empty(), "the callback ran before the call returned");
        timers.advance(std::chrono::seconds(1));
        BOOST_TEST(outcomes.size() == 1U);
        return outcomes.empty() ? "none" : outcomes.front();
    }

    watch_id open_watch(std::int64_t from_revision = 5)
    {
        return store.watch("k", from_revision, [this](leaf::result<std::vector<watch_event>> events) {
            if (!events)
                return outcomes.push_back(outcome_of(std::move(events)));
            for (const watch_event& event : *events)
                reported_events.push_back(event.entry.key + (event.deleted ? "-" : "=" + event.entry.value));
        });
    }
};

} // namespace

// Guards against an error that claims more than is known: a write that may have taken effect must not end with
// "unavailable", and only a read, or a write that certainly had no effect, may be sent to the second endpoint.
BOOST_AUTO_TEST_CASE(errors_are_mapped_conservatively)
{
    struct error_case {
        scripted_response response;
        std::string read_outcome;
        std::string write_outcome;
        bool write_fails_over;
    };
    const std::string missing_lease = error_body(5, "etcdserver: requested lease not found");
    const std::vector<error_case> cases{
        {error_response(http_error::not_sent), "unavailable", "unavailable", true},
        {error_response(http_error::connection_lost), "unavailable", "unknown_outcome", false},
        {error_response(http_error::timed_out), "unavailable", "unknown_outcome", false},
        {error_response(http_error::truncated), "unavailable", "unknown_outcome", false},
        {error_response(http_error::too_large), "bad_answer", "unknown_outcome", false},
        {{{}, 503, error_body(14, "etcdserver: request timed out")}, "unavailable", "unknown_outcome", false},
        {{{}, 503, error_body(14, "etcdserver: no leader")}, "unavailable", "unknown_outcome", false},
        {{{}, 504, error_body(4, "context deadline exceeded")}, "unavailable", "unknown_outcome", false},
        {{{}, 500, error_body(13, "internal")}, "unavailable", "unknown_outcome", false},
        {{{}, 500, error_body(2, "unknown")}, "unavailable", "unknown_outcome", false},
        {{{}, 500, error_body(259, "not a code")}, "unavailable", "unknown_outcome", false},
        {{{}, 429, error_body(8, "etcdserver: too many requests")}, "unavailable", "unavailable", true},
        {{{}, 401, error_body(16, "etcdserver: invalid auth token")}, "unavailable", "unavailable", true},
        {{{}, 403, error_body(7, "etcdserver: permission denied")}, "unavailable", "unavailable", true},
        {{{}, 400, error_body(3, "etcdserver: request is too large")}, "unavailable", "too_large", false},
        {{{}, 404, missing_lease}, "unavailable", "no_such_lease", false},
        {{{}, 404, error_body(5, "Not Found")}, "unavailable", "unknown_outcome", false},
        {{{}, 404, "<html>no such page</html>"}, "bad_answer", "bad_answer", false},
        {{{}, 302, ""}, "bad_answer", "bad_answer", false},
        {{{}, 502, "<html>bad gateway</html>"}, "unavailable", "unknown_outcome", false},
        {{{}, 200, "<html>welcome</html>"}, "bad_answer", "bad_answer", false},
        {{{}, 200, ""}, "bad_answer", "bad_answer", false},
        {{{}, 200, error_body(14, "etcdserver: no leader")}, "unavailable", "unknown_outcome", false},
    };
    for (const error_case& expected : cases) {
        for (const std::string kind : {"get", "range", "put", "remove", "grant", "keep_alive"}) {
            etcd_fixture fixture;
            fixture.http.script = {expected.response, expected.response};
            const bool is_read = kind == "get" || kind == "range";
            const std::string& outcome = is_read ? expected.read_outcome : expected.write_outcome;
            const bool fails_over =
                is_read ? outcome == "unavailable" || outcome == "bad_answer" : expected.write_fails_over;
            BOOST_TEST_CONTEXT(kind << " status " << expected.response.status << " " << expected.response.body)
            {
                BOOST_TEST(fixture.run_call(kind) == outcome);
                BOOST_TEST(fixture.http.requests.size() == (fails_over ? 2U : 1U));
            }
        }
    }
}

// Guards against accepting responses that belong to another request or come from a faulty proxy or a hostile store.
BOOST_AUTO_TEST_CASE(responses_that_violate_the_protocol_are_rejected)
{
    struct response_case {
        std::string kind;
        std::string body;
        std::string outcome;
    };
    const std::string key_entry = entry("key", "value", 4);
    const std::string bad_base64 = R"({"key":"a2V5","value":"not base64","mod_revision":"4"})";
    const std::vector<response_case> cases{
        {"get", range_body(9, key_entry), "ok"},
        {"get", range_body(9, ""), "ok"},
        {"get", "{" + header(9) + "}", "ok"},
        {"get", R"({"header":{"revision":9},"kvs":[{"key":"a2V5","mod_revision":4}]})", "ok"},
        {"get", R"({"kvs":[]})", "bad_answer"},
        {"get", "{" + header(0) + "}", "bad_answer"},
        {"get", R"({"header":{"revision":"9x"}})", "bad_answer"},
        {"get", R"({"header":{"revision":"99999999999999999999"}})", "bad_answer"},
        {"get", R"({"header":{"revision":9.5}})", "bad_answer"},
        {"get", R"({"header":[9]})", "bad_answer"},
        {"get", R"([{"header":{"revision":"9"}}])", "bad_answer"},
        {"get", "{" + header(9) + R"(,"kvs":{}})", "bad_answer"},
        {"get", "{" + header(9) + R"(,"kvs":[3]})", "bad_answer"},
        {"get", range_body(9, entry("other", "value", 4)), "bad_answer"},
        {"get", range_body(9, key_entry + "," + entry("key2", "", 4)), "bad_answer"},
        {"get", range_body(3, key_entry), "bad_answer"},
        {"get", range_body(9, entry("key", "value", 0)), "bad_answer"},
        {"get", range_body(9, entry("key", "value", -4)), "bad_answer"},
        {"get", range_body(9, entry("", "value", 4)), "bad_answer"},
        {"get", range_body(9, bad_base64), "bad_answer"},
        {"get", "{" + header(9) + R"(,"more":true})", "bad_answer"},
        {"get", std::string(100'000, '['), "bad_answer"},
        {"range", range_body(9, entry("k1", "", 4) + "," + entry("k2", "", 3)), "ok"},
        {"range", range_body(9, entry("k2", "", 4) + "," + entry("k1", "", 3)), "bad_answer"},
        {"range", range_body(9, entry("k1", "", 4) + "," + entry("k1", "", 4)), "bad_answer"},
        {"range", range_body(9, entry("other", "", 4)), "bad_answer"},
        {"put", put_body(6), "ok"},
        {"put", put_body(5), "bad_answer"},
        {"put", "{" + header(6) + R"(,"succeeded":true})", "bad_answer"},
        {"put", "{" + header(6) + R"(,"succeeded":"true","responses":[{"response_put":{}}]})", "bad_answer"},
        {"put", "{" + header(6) + R"(,"succeeded":true,"responses":[{"response_range":{}}]})", "bad_answer"},
        {"put", "{" + header(6) + R"(,"responses":[{"response_put":{}}]})", "bad_answer"},
        {"put", "{" + header(6) + R"(,"responses":[]})", "bad_answer"},
        {"put", "{" + header(6) + "}", "bad_answer"},
        {"put", conflict_body(9, entry("key", "other", 7)), "ok"},
        {"put", conflict_body(9, ""), "ok"},
        {"put", conflict_body(9, entry("key", "other", 5)), "bad_answer"},
        {"put", conflict_body(9, entry("other", "other", 7)), "bad_answer"},
        {"remove", "{" + header(6) + R"(,"succeeded":true,"responses":[{"response_delete_range":{}}]})", "ok"},
        {"remove", conflict_body(9, ""), "ok"},
        {"grant", R"({"ID":"77","TTL":"10"})", "ok"},
        {"grant", R"({"ID":"77","TTL":"9"})", "bad_answer"},
        {"grant", R"({"ID":"0","TTL":"10"})", "bad_answer"},
        {"grant", R"({"ID":"-1","TTL":"10"})", "bad_answer"},
        {"grant", R"({"TTL":"10"})", "bad_answer"},
        {"keep_alive", R"({"result":{"ID":"77","TTL":"10"}})", "ok"},
        {"keep_alive", R"({"result":{"ID":"77"}})", "no_such_lease"},
        {"keep_alive", R"({"result":{"ID":"77","TTL":"-1"}})", "bad_answer"},
        {"keep_alive", R"({"result":{}})", "bad_answer"},
        {"keep_alive", R"({"error":{"grpc_code":14,"message":"etcdserver: no leader"}})", "unknown_outcome"},
    };
    for (const response_case& expected : cases) {
        etcd_fixture fixture;
        fixture.http.script = {body_response(expected.body), body_response(expected.body)};
        BOOST_TEST_CONTEXT(expected.kind << " " << expected.body.substr(0, 200))
        BOOST_TEST(fixture.run_call(expected.kind) == expected.outcome);
    }
}

// Guards against request bodies that the gateway would misinterpret.
BOOST_FIXTURE_TEST_CASE(requests_follow_the_protocol, etcd_fixture)
{
    http.script = {body_response(range_body(9, "")), body_response(put_body(6)),
                   body_response(R"({"ID":"77","TTL":"10"})")};
    run_call("range");
    run_call("put");
    run_call("grant");
    BOOST_TEST(http.requests[0].method == "POST");
    BOOST_TEST(http.requests[0].url == first_url + "/v3/kv/range");
    BOOST_TEST(http.requests[0].body == R"({"key":"aw==","range_end":"bA=="})");
    BOOST_TEST(http.requests[1].url == first_url + "/v3/kv/txn");
    BOOST_TEST(http.requests[1].body ==
               R"({"compare":[{"key":"a2V5","mod_revision":"5","result":"EQUAL","target":"MOD"}],)"
               R"("failure":[{"request_range":{"key":"a2V5"}}],)"
               R"("success":[{"request_put":{"key":"a2V5","lease":"0","value":"dmFsdWU="}}]})");
    BOOST_TEST(http.requests[2].body == R"({"TTL":"10"})");
    BOOST_TEST(gateway::prefix_end("a\xff\xff") == "b");
    BOOST_TEST(gateway::prefix_end("") == std::string(1, '\0'));
    BOOST_TEST(gateway::prefix_end("\xff") == std::string(1, '\0'));
    BOOST_TEST(gateway::prefix_begin("") == std::string(1, '\0'));
}

BOOST_FIXTURE_TEST_CASE(results_contain_the_entries_of_the_store, etcd_fixture)
{
    http.script = {body_response(range_body(9, entry("key", std::string("\0\xff", 2), 4))),
                   body_response(conflict_body(9, entry("key", "other", 7)))};
    range_result read;
    put_result written;
    store.get("key", [&](leaf::result<range_result> result) { read = *result; });
    store.put_if("key", 5, "value", 0, [&](leaf::result<put_result> result) { written = *result; });
    timers.advance(std::chrono::seconds(1));
    BOOST_TEST(read.revision == 9);
    BOOST_REQUIRE(read.entries.size() == 1U);
    BOOST_TEST(read.entries[0].value == std::string("\0\xff", 2));
    BOOST_TEST(read.entries[0].mod_revision == 4);
    BOOST_TEST(!written.applied);
    BOOST_REQUIRE(written.current.has_value());
    BOOST_TEST(written.current->value == "other");
    BOOST_TEST(written.current->mod_revision == 7);
}

// Guards against an unreachable first endpoint that delays every call.
BOOST_FIXTURE_TEST_CASE(the_endpoint_that_responded_is_used_first, etcd_fixture)
{
    http.script = {error_response(http_error::not_sent), body_response(put_body(6)), body_response(put_body(7))};
    BOOST_TEST(run_call("put") == "ok");
    BOOST_TEST(run_call("put") == "ok");
    BOOST_REQUIRE(http.requests.size() == 3U);
    BOOST_TEST(http.requests[1].url.starts_with(second_url));
    BOOST_TEST(http.requests[2].url.starts_with(second_url));
}

// Guards against a read that leaves no time for the second endpoint, and against a call that exceeds its time limit.
BOOST_FIXTURE_TEST_CASE(the_time_limit_covers_all_endpoints, etcd_fixture)
{
    http.script = {error_response(http_error::timed_out), body_response(range_body(9, ""))};
    BOOST_TEST(run_call("get") == "ok");
    BOOST_REQUIRE(http.requests.size() == 2U);
    BOOST_TEST(http.requests[0].timeout.count() == 1'000'000);
    BOOST_TEST(http.requests[1].timeout.count() == 1'999'000);
    http.script = {body_response(put_body(6))};
    run_call("put");
    BOOST_TEST(http.requests[2].timeout.count() == 2'000'000);
}

// Guards against sending a value above the limit, which the store would reject.
BOOST_FIXTURE_TEST_CASE(large_value_is_rejected_before_it_is_sent, etcd_fixture)
{
    store.put_if("key", 0, std::string(max_value_bytes + 1, 'x'), 0, record_outcome<put_result>());
    BOOST_TEST(outcomes.empty());
    timers.run_due();
    BOOST_TEST(outcomes == std::vector<std::string>{"too_large"}, boost::test_tools::per_element());
    BOOST_TEST(http.requests.empty());
}

// Guards against callbacks that run after the store and its owner have been destroyed.
BOOST_AUTO_TEST_CASE(destroying_the_store_cancels_open_calls)
{
    virtual_timer_service timers;
    scripted_http_client http(timers);
    http.script = {body_response(range_body(9, ""))};
    int calls = 0;
    {
        etcd_store store(http, timers, {{first_url}, std::chrono::seconds(2)});
        store.get("key", [&](leaf::result<range_result>) { ++calls; });
        store.put_if("key", 0, std::string(max_value_bytes + 1, 'x'), 0, [&](leaf::result<put_result>) { ++calls; });
        store.watch("k", 1, [&](leaf::result<std::vector<watch_event>>) { ++calls; });
    }
    timers.advance(std::chrono::seconds(1));
    BOOST_TEST(http.cancelled_calls.size() == 2U);
    BOOST_TEST(calls == 0);
}

// Guards against events that are lost or truncated at the boundaries between the pieces of a stream.
BOOST_AUTO_TEST_CASE(watch_decodes_messages_from_pieces_of_any_size)
{
    const std::string put_event = R"({"kv":)" + entry("k1", "v", 6) + "}";
    const std::string delete_event = R"({"type":"DELETE","kv":{"key":"azI=","mod_revision":"6"}})";
    const std::string stream = R"({"result":{)" + header(5) + R"(,"watch_id":"0","created":true}})" + "\n" +
                               watch_body(6, put_event + "," + delete_event) + "\r\n" +
                               watch_body(7, R"({"type":"PUT","kv":)" + entry("k3", "w", 7) + "}");
    for (std::size_t size = 1; size <= stream.size(); size += 7) {
        etcd_fixture fixture;
        fixture.open_watch();
        for (std::size_t at = 0; at < stream.size(); at += size)
            fixture.http.send_piece(std::string_view(stream).substr(at, size));
        BOOST_TEST(fixture.reported_events == (std::vector<std::string>{"k1=v", "k2-", "k3=w"}),
                   boost::test_tools::per_element());
        BOOST_TEST(fixture.outcomes.empty());
    }
}

// Guards against a watch that continues after an invalid message, or that ends without reporting an error.
BOOST_AUTO_TEST_CASE(watch_ends_with_an_error)
{
    struct watch_case {
        std::string piece;
        std::string outcome;
    };
    const auto event = [](const std::string& key, int revision) {
        return watch_body(revision, R"({"kv":)" + entry(key, "v", revision) + "}");
    };
    const std::vector<watch_case> cases{
        {"<html>\n", "bad_answer"},
        {"{}\n", "bad_answer"},
        {R"({"result":{"events":{}}})"
         "\n",
         "bad_answer"},
        {watch_body(6, "3"), "bad_answer"},
        {watch_body(6, R"({"type":"OTHER","kv":)" + entry("k1", "v", 6) + "}"), "bad_answer"},
        {watch_body(6, R"({"type":3,"kv":)" + entry("k1", "v", 6) + "}"), "bad_answer"},
        {event("other", 6), "bad_answer"},
        {event("k1", 4), "bad_answer"},
        {event("k1", 7) + event("k2", 6), "bad_answer"},
        {R"({"result":{"canceled":true,"compact_revision":"8"}})"
         "\n",
         "unavailable"},
        {R"({"error":{"grpc_code":14,"http_code":503,"message":"etcdserver: no leader"}})"
         "\n",
         "unavailable"},
        {std::string(17UL * 1024 * 1024, 'x'), "bad_answer"},
    };
    for (const watch_case& expected : cases) {
        etcd_fixture fixture;
        fixture.open_watch();
        fixture.http.send_piece(expected.piece);
        fixture.http.send_piece(event("k9", 9));
        BOOST_TEST_CONTEXT(expected.piece.substr(0, 200))
        {
            BOOST_TEST(fixture.outcomes == std::vector<std::string>{expected.outcome},
                       boost::test_tools::per_element());
            BOOST_TEST(fixture.http.cancelled_calls.size() == 1U);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(watch_tries_each_endpoint_before_it_ends, etcd_fixture)
{
    open_watch(0);
    BOOST_TEST(http.requests[0].body == R"({"create_request":{"key":"aw==","range_end":"bA==","start_revision":"1"}})");
    BOOST_TEST(http.requests[0].timeout.count() == 0);
    http.finish_stream(error_response(http_error::not_sent));
    BOOST_TEST(outcomes.empty());
    BOOST_REQUIRE(http.requests.size() == 2U);
    BOOST_TEST(http.requests[1].url == second_url + "/v3/watch");
    http.finish_stream(error_response(http_error::not_sent));
    BOOST_TEST(outcomes == std::vector<std::string>{"unavailable"}, boost::test_tools::per_element());
}

// Guards against missing events: once a stream has started, it must not be reopened at another endpoint; the caller has
// to read the keys again.
BOOST_FIXTURE_TEST_CASE(watch_ends_when_its_started_stream_ends, etcd_fixture)
{
    open_watch();
    http.send_piece(watch_body(6, ""));
    http.finish_stream(error_response(http_error::connection_lost));
    BOOST_TEST(http.requests.size() == 1U);
    BOOST_TEST(outcomes == std::vector<std::string>{"unavailable"}, boost::test_tools::per_element());
}

// Guards against callbacks after the watch has been cancelled, also when its own callback cancels it.
BOOST_FIXTURE_TEST_CASE(cancelled_watch_reports_nothing, etcd_fixture)
{
    watch_id id = 0;
    int calls = 0;
    id = store.watch("k", 1, [&](leaf::result<std::vector<watch_event>>) {
        ++calls;
        store.cancel_watch(id);
    });
    const std::string event = watch_body(6, R"({"kv":)" + entry("k1", "v", 6) + "}");
    http.send_piece(event + event);
    http.finish_stream(error_response(http_error::connection_lost));
    BOOST_TEST(calls == 1);
    BOOST_TEST(http.cancelled_calls.size() == 1U);
}

} // namespace mulberry
