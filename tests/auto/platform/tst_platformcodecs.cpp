#include "platform/adapter.h"
#include "platform/announcementcodec.h"
#include "platform/configurationcodec.h"
#include "platform/jsonfields.h"
#include "platform/kvcodec.h"

#include "app/sidecar/sidecarsettingsfile.h"
#include "libs/base/asyncerror.h"

#include <boost/test/unit_test.hpp>

namespace mulberry::platform {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view configuration_text = R"({"version":"r7","routes":{
 "r-a":{"hostname":"h.example","path_prefix":"/a/","route_type":"idempotent","timeout":"1200ms","aim":"1500ms","priority":2,
        "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2,"public":false},
 "r-b":{"hostname":"h.example","path_prefix":"/b/","route_type":"non_idempotent","timeout":"1.2s","priority":0,
        "service":"s3","max_attempts":1,"public":true}},
 "services":{"s1":{},"s2":{},"s3":{}},
 "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15s"},
 "tenants":{"t1":{"api_keys":["k1","k2"],"priority":1,"rate_per_s":151,"burst":150.5},"t2":{"api_keys":["k3"]}}})";

std::string replace_first(std::string_view text, std::string_view from, std::string_view to)
{
    std::string out(text);
    out.replace(out.find(from), from.size(), to);
    return out;
}

} // namespace

// Guards against members of the configuration that are decoded to the wrong field or value.
BOOST_AUTO_TEST_CASE(a_configuration_is_translated)
{
    const auto decoded = decode_configuration(configuration_text);
    const auto& configuration = std::get<host_configuration>(decoded);
    BOOST_TEST(configuration.version == 7);
    BOOST_REQUIRE(configuration.routes.size() == 2U);
    const host_route& split = configuration.routes[0];
    BOOST_TEST(split.idempotent);
    BOOST_TEST(split.services.size() == 2U);
    BOOST_TEST(split.services[0].weight == 90U);
    BOOST_TEST((split.timeout == 1200ms));
    BOOST_TEST((split.level == importance::normal));
    const host_route& public_route = configuration.routes[1];
    BOOST_TEST(public_route.open);
    BOOST_TEST(!public_route.idempotent);
    BOOST_TEST((public_route.timeout == 1200ms));
    BOOST_TEST((public_route.level == importance::critical));
    BOOST_TEST(configuration.limits.max_body_bytes == 1048576U);
    BOOST_TEST((configuration.limits.idle_timeout == 15s));
    BOOST_REQUIRE(configuration.organisations.size() == 2U);
    BOOST_TEST((configuration.organisations[0].level == importance::high));
    BOOST_TEST(configuration.organisations[0].burst == 150.5);
    BOOST_TEST(configuration.organisations[1].rate == 0);
    BOOST_TEST(!configuration.organisations[1].level.has_value());
}

// Guards against downloads that are never repeated: the kind was taken for one that may run only once.
BOOST_AUTO_TEST_CASE(downloads_are_idempotent)
{
    const auto decoded = decode_configuration(replace_first(configuration_text, "\"idempotent\"", "\"download\""));
    BOOST_TEST(std::get<host_configuration>(decoded).routes[0].idempotent);
}

// Guards against an instance name that cannot be sent as a header field or stored as JSON.
BOOST_AUTO_TEST_CASE(instance_names_are_visible_ascii)
{
    BOOST_TEST(is_instance_name("i-7f3a91c2"));
    for (const std::string& name : {std::string(), std::string("i-\xff"), std::string("i 1"), std::string("i\r\n1"),
                                    std::string("i\0", 2), std::string(201, 'i')})
        BOOST_TEST(!is_instance_name(name));
}

// Guards against a configuration that is applied in part: a route or key that cannot be decoded would be missing.
BOOST_AUTO_TEST_CASE(a_configuration_with_an_error_is_rejected)
{
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
             {"\"r7\"", "7"},
             {"\"r7\"", "\"r7x\""},
             {"\"1200ms\"", "1200"},
             {"\"weight\":90", "\"weight\":\"90\""},
             {"\"k1\"", "17"},
             {"\"hostname\":\"h.example\",", ""},
             {"\"service\":\"s3\",", ""},
             {"\"priority\":0", "\"priority\":\"3\""},
             {"\"max_attempts\":1", "\"max_attempts\":\"1\""},
             {"\"public\":true", "\"public\":1"},
             {"\"rate_per_s\":151", "\"rate_per_s\":\"151\""},
             {"\"burst\":150.5", "\"burst\":[]"},
         }) {
        const auto decoded = decode_configuration(replace_first(configuration_text, from, to));
        BOOST_TEST(std::holds_alternative<std::string>(decoded), from << " to " << to);
    }
    BOOST_TEST(std::holds_alternative<std::string>(decode_configuration("\xff")));
}

// Guards against a malformed heartbeat that is taken for an announcement of the upstream.
BOOST_AUTO_TEST_CASE(heartbeats_are_decoded_or_rejected)
{
    constexpr std::string_view good =
        R"({"address":"10.0.0.9:80","born":1700000000123,"info":{"service":"s1","version":"v1","zone":"z","slots":140},)"
        R"("status":{"state":"draining","sequence":4,"cold_remaining":"0ms"}})";
    const auto report = decode_heartbeat("i-1", good);
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report->leaving);
    BOOST_TEST(report->slots == 140U);
    BOOST_TEST(report->sequence == 4U);
    BOOST_TEST(report->born_ms == 1700000000123);
    BOOST_TEST(decode_instance_start_ms(good).value() == 1700000000123);
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
             {"\"draining\"", "\"asleep\""},
             {"\"slots\":140", "\"slots\":\"140\""},
             {"\"slots\":140", "\"slots\":0"},
             {"\"slots\":140", "\"slots\":4294967297"},
             {"\"slots\":140", "\"slots\":18446744073709551615"},
             {"\"slots\":140", "\"slots\":1e999"},
             {"\"slots\":140", "\"slots\":140,\"x\":" + std::string(100000, '[')},
             {"\"sequence\":4", "\"sequence\":-4"},
             {"\"service\":\"s1\"", "\"service\":null"},
             {"\"status\"", "\"state\""},
         }) {
        BOOST_TEST(!decode_heartbeat("i-1", replace_first(good, from, to)).has_value(), from << " to " << to);
    }
    BOOST_TEST(!decode_heartbeat("i-1", "").has_value());
}

// Guards against keys, values and revisions that change on their way to the store and back.
BOOST_AUTO_TEST_CASE(store_bodies_are_translated)
{
    const std::string transaction = encode_transaction("a/b", 4, std::string("\x00\xff value", 8), 77);
    const json message = json::parse(transaction);
    BOOST_TEST(message["expected_rev"][0]["revision"] == 4);
    BOOST_TEST(message["writes"][0]["lease"] == 77);
    const json item{{"key", "a/b"}, {"value", message["writes"][0]["value"]}, {"revision", 9}, {"created", 2}};
    const auto entry = decode_item(item.dump());
    BOOST_REQUIRE(entry.has_value());
    BOOST_TEST((entry->value == std::string("\x00\xff value", 8)));
    BOOST_TEST(entry->mod_revision == 9);
    const auto page = decode_watch(
        R"({"events":[{"key":"k","value":"eA==","revision":5,"created":5,"lease":0},{"key":"g","revision":6,"removed":true},
            {"key":7}],"store_revision":6})");
    BOOST_REQUIRE(page.has_value());
    BOOST_REQUIRE(page->events.size() == 2U);
    BOOST_TEST(page->events[0].entry.value == "x");
    BOOST_TEST(page->events[1].deleted);
    BOOST_TEST(percent_encode("a b/c&d") == "a%20b/c%26d");
}

// Guards against a settings file in the platform's notation being rejected, and against an error that does not name the
// key and the line.
BOOST_AUTO_TEST_CASE(settings_are_checked)
{
    const std::string good = "node_name = \"n\"\nfailure_domain = \"z\"\nregion = \"r\"\nservice = \"s\"\n"
                             "upstream = \"10.1.0.26:8547\"\ncallers_listen = \"10.1.0.26:8548\"\n"
                             "peers_listen = \"10.1.0.26:8543\"\nreadiness_listen = \"10.1.0.26:8546\"\n"
                             "announcements_listen = \"10.1.0.26:8540\"\nstore = \"10.200.1.7:8545\"\n"
                             "drain_limit = \"2.5s\"\nretry_ratio = 0.2\nretry_slack = 48\nmemory_limit_mb = 260\n";
    const auto settings = parse_sidecar_settings(good, "s.toml");
    BOOST_REQUIRE(static_cast<bool>(settings));
    BOOST_TEST((settings->drain_limit == 2500ms));
    BOOST_TEST(settings->retry_slack == 48);
    BOOST_TEST(settings->peers.port == 8543);
    auto invalid_settings = parse_sidecar_settings(replace_first(good, "\"2.5s\"", "\"soon\""), "s.toml");
    const auto errors = error_of(std::move(invalid_settings), document_errors{}).errors;
    BOOST_REQUIRE(errors.size() == 1U);
    BOOST_TEST(errors[0].key == "drain_limit");
    BOOST_TEST(errors[0].line == 11U);
}

// Guards against a valid announcement that is not acknowledged, and a malformed one that is.
BOOST_AUTO_TEST_CASE(announcements_are_acknowledged)
{
    struct fixed_timers final : timer_service {
        time_point now() const override { return {}; }
        timer_id schedule(duration, std::function<void()>) override { return 1; }
        void cancel(timer_id) override {}
    } timers;
    adapter adapter_under_test("10.0.0.1:1");
    upstream_tracker tracker(timers, [](const tracked_upstream&) {});
    const std::string heartbeat = R"({"info":{"service":"s1","slots":3},"status":{"state":"ready","sequence":1}})";
    BOOST_TEST(adapter_under_test.on_announcement({"PUT", "/-/instances/i-1", "h", {}, heartbeat}, tracker).status ==
               200);
    BOOST_TEST(tracker.current()->last_report.instance == "i-1");
    BOOST_TEST(adapter_under_test.on_announcement({"PUT", "/-/instances/i-1", "h", {}, "{"}, tracker).status == 400);
    BOOST_TEST(adapter_under_test.on_announcement({"PUT", "/other", "h", {}, heartbeat}, tracker).status == 404);
    BOOST_TEST(adapter_under_test.on_announcement({"DELETE", "/-/instances/i-1", "h", {}, ""}, tracker).status == 200);
    BOOST_TEST(tracker.current()->leaving_since.has_value());
    BOOST_TEST(adapter_under_test.is_readiness_request({"GET", "/-/ready", "h", {}, ""}));
}

} // namespace mulberry::platform
