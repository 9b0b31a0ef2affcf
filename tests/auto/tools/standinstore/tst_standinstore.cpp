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

/// Makes each call at once over loopback and reports its answer on the timers; it has no streams.
class loopback_http_client final : public streaming_http_client {
public:
    explicit loopback_http_client(timer_service& timers) : m_timers(timers) {}

    http_call_id send(http_request request, http_callback done) override
    {
        http_caller caller(request.url, std::chrono::seconds(60));
        auto answer =
            std::make_shared<leaf::result<http_answer>>(caller.call(request.method, "", request.headers, request.body));
        m_timers.schedule(duration{0}, [answer, done = std::move(done)] { done(std::move(*answer)); });
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
        call([&](leaf::result<Result> given) { result = std::move(given); });
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

// Guards against a client and a stand-in that differ about the protocol.
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
    const auto all = range("d/");
    BOOST_REQUIRE((all && all->entries.size() == 2));
    BOOST_TEST(all->entries[1].value == "three");
    BOOST_TEST(range("")->entries.size() == 3U);
    BOOST_TEST(!remove("d/a", 1)->applied);
    BOOST_TEST(remove("d/a", first->revision)->applied);
    BOOST_TEST(range("d/")->entries.size() == 1U);
}

// Guards against a fault that leaves no write behind, so that the case it stands for is never exercised.
BOOST_FIXTURE_TEST_CASE(lost_answer_leaves_the_write_in_force, standin_fixture)
{
    set_faults(R"({"lose_answers": 1})");
    BOOST_TEST((error_of(put("k", 0, "v"), store_error::bad_answer) == store_error::unknown_outcome));
    BOOST_TEST(range("k")->entries.size() == 1U);
    BOOST_TEST(put("l", 0, "v")->applied);
    BOOST_TEST(stats()["lost_answers"] == 1);
}

BOOST_FIXTURE_TEST_CASE(faults_have_their_errors, standin_fixture)
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

BOOST_FIXTURE_TEST_CASE(lapsed_lease_ends_its_keys, standin_fixture)
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

// Guards against a watch that misses changes, or that stays open through an outage.
BOOST_FIXTURE_TEST_CASE(watch_streams_changes_until_the_store_is_down, standin_fixture)
{
    BOOST_TEST(put("w/a", 0, "early")->applied);
    http_caller watcher(url, std::chrono::seconds(60));
    auto stream = std::async(std::launch::async, [&] {
        return watcher.call("POST", gateway::watch_path, {}, gateway::watch_request("w/", "w0", 1))->body;
    });
    while (stats()["open_watches"] != 1)
        std::this_thread::yield();
    BOOST_TEST(put("w/b", 0, "late")->applied);
    BOOST_TEST(put("x", 0, "other")->applied);
    set_faults(R"({"down": true})");
    std::istringstream lines(stream.get());
    std::vector<std::string> seen;
    for (std::string line; std::getline(lines, line);) {
        const auto message = gateway::read_watch_message(line);
        BOOST_REQUIRE(message.has_value());
        for (const watch_event& event : message->events)
            seen.push_back(event.entry.value);
    }
    BOOST_TEST(seen == (std::vector<std::string>{"early", "late"}), boost::test_tools::per_element());
}

// Guards against requests outside the subset that seem to work.
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
