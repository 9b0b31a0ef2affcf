#include "tools/standinupstream/upstreamserver.h"

#include <future>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mulberry {

namespace {

using nlohmann::json;

/// Settings with 4 slots and a latency of 100 us.
upstream_settings fast_settings()
{
    upstream_settings settings;
    settings.slots = 4;
    settings.behaviour.latency = duration(100);
    return settings;
}

/// A running stand-in with an HTTP client for it.
struct running_upstream {
    explicit running_upstream(const upstream_settings& settings)
        : server(settings, [this] { ++drain_count; }), base_url(fmt::format("http://127.0.0.1:{}", server.start())),
          client(base_url, std::chrono::seconds(60))
    {
    }

    http_response post(std::string_view path, std::string_view body, const http_headers& headers = {})
    {
        return *client.call("POST", path, headers, body);
    }
    json stats() { return json::parse(client.call("GET", "/stats", {}, "")->body); }
    void wait_for_runs(std::uint64_t runs)
    {
        while (stats()["runs"].get<std::uint64_t>() < runs)
            std::this_thread::yield();
    }

    int drain_count = 0;
    upstream_server server;
    std::string base_url;
    http_caller client;
};

} // namespace

// Guards against duplicate runs of a request that the counters do not show.
BOOST_AUTO_TEST_CASE(runs_are_counted_per_body)
{
    running_upstream upstream(fast_settings());
    BOOST_TEST(upstream.post("/a", "one").status == 200);
    BOOST_TEST(upstream.post("/a", "two").body == "two");
    BOOST_TEST(upstream.post("/b", "two").status == 200);
    const json stats = upstream.stats();
    BOOST_TEST(stats["runs"] == 3);
    BOOST_TEST(stats["distinct_bodies"] == 2);
    BOOST_TEST((stats["repeated_bodies"] == json{{"two", 2}}));
    BOOST_TEST(json::parse(upstream.client.call("GET", "/stats/runs?two", {}, "")->body)["runs"] == 2);
}

// Guards against a stand-in that does not notice when a caller's key reaches the upstream.
BOOST_AUTO_TEST_CASE(authorization_headers_are_counted)
{
    running_upstream upstream(fast_settings());
    upstream.post("/a", "", {{"authorization", "Bearer x"}});
    BOOST_TEST(upstream.stats()["authorization_seen"] == 1);
}

// Guards against nested calls without the context header, which the daemon cannot assign to the request that makes
// them.
BOOST_AUTO_TEST_CASE(nested_calls_carry_request_context)
{
    running_upstream downstream(fast_settings());
    upstream_settings settings = fast_settings();
    settings.behaviour.daemon_url = downstream.base_url;
    settings.behaviour.nested = {{"POST", "/deep/x"}, {"POST", "/deep/y"}};
    running_upstream upstream(settings);
    BOOST_TEST(upstream.post("/a", "body", {{"Mulberry-Context", "token"}}).status == 200);
    BOOST_TEST(downstream.stats()["runs"] == 2);
    BOOST_TEST(downstream.stats()["without_context"] == 0);
    BOOST_TEST((downstream.stats()["repeated_bodies"] == json{{"body", 2}}));

    downstream.post("/settings", R"({"failure_rate": 1, "failure_status": 429})");
    BOOST_TEST(upstream.post("/a", "other").status == 503);
    BOOST_TEST(upstream.stats()["nested_failed"] == 1);
}

// Guards against a drain that aborts running requests or accepts new ones.
BOOST_AUTO_TEST_CASE(drain_completes_running_requests_and_refuses_new_ones)
{
    upstream_settings settings = fast_settings();
    settings.behaviour.latency = std::chrono::milliseconds(300);
    running_upstream upstream(settings);
    auto running = std::async(std::launch::async, [&] { return upstream.post("/a", "running"); });
    upstream.wait_for_runs(1);
    BOOST_TEST(upstream.post("/drain", "").status == 202);
    BOOST_TEST(upstream.post("/drain", "").status == 202);
    BOOST_TEST(upstream.drain_count == 1);
    BOOST_TEST(upstream.post("/a", "late").status == 503);
    BOOST_TEST(upstream.client.call("GET", "/health", {}, "")->status == 503);
    BOOST_TEST(upstream.server.drain_and_stop());
    BOOST_TEST(running.get().body == "running");
}

BOOST_AUTO_TEST_CASE(slots_limit_concurrent_requests)
{
    upstream_settings settings = fast_settings();
    settings.slots = 2;
    settings.behaviour.latency = std::chrono::milliseconds(20);
    running_upstream upstream(settings);
    std::vector<std::future<http_response>> calls(8);
    for (auto& call : calls)
        call = std::async(std::launch::async, [&] { return upstream.post("/a", ""); });
    for (auto& call : calls)
        BOOST_TEST(call.get().status == 200);
    BOOST_TEST(upstream.stats()["peak_busy"] == 2);
}

// Guards against a full instance that queues requests although it is configured to refuse them.
BOOST_AUTO_TEST_CASE(full_instance_refuses_requests_if_configured)
{
    upstream_settings settings = fast_settings();
    settings.slots = 1;
    settings.behaviour.latency = std::chrono::milliseconds(300);
    settings.behaviour.refuse_when_full = true;
    running_upstream upstream(settings);
    auto running = std::async(std::launch::async, [&] { return upstream.post("/a", ""); });
    upstream.wait_for_runs(1);
    BOOST_TEST(upstream.post("/a", "").status == 503);
    BOOST_TEST(running.get().status == 200);
    BOOST_TEST(upstream.stats()["refused_full"] == 1);
}

BOOST_AUTO_TEST_CASE(health_mode_changes_and_invalid_settings_are_rejected)
{
    running_upstream upstream(fast_settings());
    struct settings_case {
        std::string body;
        int status;
        int health;
    };
    for (const auto& [body, status, health] : std::vector<settings_case>{
             {R"({"health": "always-failing"})", 200, 503},
             {R"({"health": "always-healthy", "latency": "1"})", 400, 503},
             {R"({"health": "always-healthy", "unknown": 1})", 400, 503},
             {R"({"failure_rate": 2})", 400, 503},
             {"[1]", 400, 503},
             {"{", 400, 503},
             {R"({"health": "always-healthy"})", 200, 200},
         }) {
        BOOST_TEST_CONTEXT(body)
        {
            BOOST_TEST(upstream.post("/settings", body).status == status);
            BOOST_TEST(upstream.client.call("GET", "/health", {}, "")->status == health);
        }
    }
}

BOOST_AUTO_TEST_CASE(invalid_command_lines_are_rejected)
{
    for (const std::vector<std::string>& arguments : std::vector<std::vector<std::string>>{
             {"--slots", "0"},
             {"--slots", "many"},
             {"--latency", "20"},
             {"--spread", "1.5"},
             {"--health", "good"},
             {"--nested", "GET /a"},
             {"--nested", "GET", "--daemon", "http://a:1"},
             {"--port", "70000"},
             {"extra"},
             {"--unknown"},
         })
        BOOST_TEST(!parse_upstream_command_line(arguments).valid, arguments.front());
    const auto parsed = parse_upstream_command_line(
        std::vector<std::string>{"--daemon", "http://a:1", "--nested", "GET /a/b", "--nested", "POST /c"});
    BOOST_TEST(parsed.valid);
    BOOST_TEST(parsed.settings.behaviour.nested.size() == 2U);
    BOOST_TEST(parse_upstream_command_line(std::vector<std::string>{"--help"}).valid);
}

} // namespace mulberry
