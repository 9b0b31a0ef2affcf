#include "tools/standinstore/gatewayserver.h"

#include "fakes/virtualtimerservice.h"
#include "libs/base/asyncerror.h"
#include "libs/store/etcdstore.h"
#include "libs/store/gatewaycodec.h"
#include "tools/httpcaller/httpcaller.h"

#include <future>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mulberry {

namespace {

using nlohmann::json;

/// HTTP client that makes each call synchronously over loopback and delivers the response through the timers. Streams
/// are not supported.
class loopback_http_client final : public streaming_http_client {
public:
    explicit loopback_http_client(timer_service& timers) : m_timers(timers) {}

    http_call_id send(http_request request, http_callback done) override
    {
        http_caller caller(request.url, std::chrono::seconds(60));
        auto response = std::make_shared<leaf::result<http_response>>(
            caller.call(request.method, "", request.headers, request.body));
        m_timers.schedule(duration{0}, [response, done = std::move(done)] { done(std::move(*response)); });
        return 1;
    }
    void cancel(http_call_id) override {}
    http_call_id stream(http_request, std::function<void(std::string_view)>, http_callback) override { return 1; }

private:
    timer_service& m_timers;
};

struct standin_fixture {
    gateway_server server;
    std::string url = fmt::format("http://127.0.0.1:{}", server.start("127.0.0.1", 0));
    http_caller caller{url, std::chrono::seconds(60)};
    virtual_timer_service timers;
    loopback_http_client http{timers};
    etcd_store store{http, timers, {{url}, std::chrono::seconds(2)}};

    void set_faults(const std::string& members)
    {
        BOOST_TEST(caller.call("POST", "/standin/faults", {}, members)->status == 200);
    }

    template <typename Result>
    leaf::result<Result> run(std::function<void(std::function<void(leaf::result<Result>)>)> call)
    {
        std::optional<leaf::result<Result>> result;
        call([&](leaf::result<Result> store_result) { result = std::move(store_result); });
        timers.run_due();
        BOOST_REQUIRE(result.has_value());
        return std::move(*result);
    }
    leaf::result<put_result> put(std::string_view key, std::int64_t expected, const std::string& value,
                                 lease_id lease = 0)
    {
        return run<put_result>([&](auto done) { store.put_if(key, expected, value, lease, done); });
    }
    leaf::result<put_result> remove(std::string_view key, std::int64_t expected)
    {
        return run<put_result>([&](auto done) { store.remove_if(key, expected, done); });
    }
    leaf::result<range_result> range(std::string_view prefix)
    {
        return run<range_result>([&](auto done) { store.range(prefix, done); });
    }
    json stats() { return json::parse(caller.call("GET", "/standin/stats", {}, "")->body); }
};

} // namespace

// Guards against differences in the protocol between etcd_store and the stand-in.
BOOST_FIXTURE_TEST_CASE(store_calls_work_against_the_stand_in, standin_fixture)
{
    const auto first = put("d/a", 0, "one");
    BOOST_REQUIRE((first && first->applied));
    const auto second = put("d/a", 0, "two");
    BOOST_REQUIRE((second && !second->applied && second->current));
    BOOST_TEST(second->current->value == "one");
    BOOST_TEST(second->current->mod_revision == first->revision);
    BOOST_TEST(put("d/b", 0, "three")->applied);
    BOOST_TEST(put("e", 0, "four")->applied);
    const auto matching = range("d/");
    BOOST_REQUIRE((matching && matching->entries.size() == 2));
    BOOST_TEST(matching->entries[1].value == "three");
    BOOST_TEST(range("")->entries.size() == 3U);
    BOOST_TEST(!remove("d/a", 1)->applied);
    BOOST_TEST(remove("d/a", first->revision)->applied);
    BOOST_TEST(range("d/")->entries.size() == 1U);
}

// Guards against a lose_answers fault that also discards the write. Tests that use it would then never exercise a write
// that takes effect without a response.
BOOST_FIXTURE_TEST_CASE(write_with_lost_response_takes_effect, standin_fixture)
{
    set_faults(R"({"lose_answers": 1})");
    BOOST_TEST((error_of(put("k", 0, "v"), store_error::bad_answer) == store_error::unknown_outcome));
    BOOST_TEST(range("k")->entries.size() == 1U);
    BOOST_TEST(put("l", 0, "v")->applied);
    BOOST_TEST(stats()["lost_answers"] == 1);
}

BOOST_FIXTURE_TEST_CASE(faults_map_to_store_errors, standin_fixture)
{
    struct fault_case {
        std::string members;
        store_error read_error;
        store_error write_error;
        bool written;
    };
    for (const auto& [members, read_error, write_error, written] : std::vector<fault_case>{
             {R"({"down": true})", store_error::unavailable, store_error::unknown_outcome, false},
             {R"({"unavailable": true})", store_error::unavailable, store_error::unknown_outcome, false},
             {R"({"garbage": true})", store_error::bad_answer, store_error::bad_answer, true},
         }) {
        BOOST_TEST_CONTEXT(members)
        {
            set_faults(members);
            BOOST_TEST((error_of(range("k"), store_error::too_large) == read_error));
            BOOST_TEST((error_of(put(members, 0, "v"), store_error::too_large) == write_error));
            set_faults(R"({"down": false, "unavailable": false, "garbage": false})");
            BOOST_TEST(range(members)->entries.size() == (written ? 1U : 0U));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(expired_lease_deletes_its_keys, standin_fixture)
{
    const auto lease = run<lease_id>([&](auto done) { store.grant_lease(std::chrono::hours(1), done); });
    BOOST_REQUIRE(lease.has_value());
    BOOST_TEST(put("k", 0, "v", *lease)->applied);
    BOOST_TEST(static_cast<bool>(run<void>([&](auto done) { store.keep_alive(*lease, done); })));
    BOOST_TEST(caller.call("POST", "/standin/lapse", {}, fmt::format(R"({{"ID": "{}"}})", *lease))->status == 200);
    BOOST_TEST(range("k")->entries.empty());
    const store_error error =
        error_of(run<void>([&](auto done) { store.keep_alive(*lease, done); }), store_error::bad_answer);
    BOOST_TEST((error == store_error::no_such_lease));
    BOOST_TEST((error_of(put("k", 0, "v", *lease), store_error::bad_answer) == store_error::no_such_lease));
}

// Guards against a watch that misses changes, and against one that stays open while the store is down.
BOOST_FIXTURE_TEST_CASE(watch_streams_changes_until_the_store_is_down, standin_fixture)
{
    BOOST_TEST(put("w/a", 0, "early")->applied);
    http_caller watch_caller(url, std::chrono::seconds(60));
    auto stream = std::async(std::launch::async, [&] {
        return watch_caller.call("POST", gateway::watch_path, {}, gateway::watch_request("w/", "w0", 1))->body;
    });
    while (stats()["open_watches"] != 1)
        std::this_thread::yield();
    BOOST_TEST(put("w/b", 0, "late")->applied);
    BOOST_TEST(put("x", 0, "other")->applied);
    set_faults(R"({"down": true})");
    std::istringstream lines{std::string(stream.get())};
    std::vector<std::string> received_values;
    for (std::string line; std::getline(lines, line);) {
        const auto message = gateway::decode_watch_message(line);
        BOOST_REQUIRE(message.has_value());
        for (const watch_event& event : message->events)
            received_values.push_back(event.entry.value);
    }
    BOOST_TEST(received_values == (std::vector<std::string>{"early", "late"}), boost::test_tools::per_element());
}

// Guards against unsupported requests that appear to succeed.
BOOST_FIXTURE_TEST_CASE(requests_outside_the_subset_are_refused, standin_fixture)
{
    struct request_case {
        std::string path;
        std::string body;
        int status;
    };
    for (const auto& [path, body, status] : std::vector<request_case>{
             {"/v3/kv/range", R"({"key":"YQ==","range_end":"eg=="})", 400},
             {"/v3/kv/range", R"({"key":"?"})", 400},
             {"/v3/kv/range", "", 400},
             {"/v3/kv/txn", "{}", 400},
             {"/v3/kv/txn",
              R"({"compare":[{"key":"YQ==","target":"VERSION"}],"success":[{"request_put":{"key":"YQ=="}}]})", 501},
             {"/v3/kv/txn", R"({"compare":[{"key":"YQ==","target":"MOD"}],"success":[{"request_put":{"key":"Yg=="}}]})",
              501},
             {"/v3/lease/grant", R"({"TTL":"0"})", 400},
             {"/v3/lease/revoke", "{}", 404},
             {"/standin/faults", R"({"unknown":1})", 400},
             {"/standin/faults", R"({"delay":"1"})", 400},
         }) {
        BOOST_TEST_CONTEXT(path << " " << body)
        BOOST_TEST(caller.call("POST", path, {}, body)->status == status);
    }
}

} // namespace mulberry
