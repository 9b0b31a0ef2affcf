#include <boost/test/unit_test.hpp>

#include "fakes/virtualtimerservice.h"
#include "plugins/routing/upstreamselector.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace mulberry;

namespace {

const node_location own_domain{"d1", "r1"};
const node_location other_domain{"d2", "r1"};
const node_location other_region{"d3", "r2"};
constexpr time_point long_ago{duration{-60'000'000}};
constexpr duration normal_latency{50'000};

upstream_info info(std::string name, node_location location, time_point serving_since = long_ago)
{
    return {std::move(name), 1, "orders", std::move(location), upstream_state::serving, serving_since};
}

struct fixture {
    explicit fixture(std::vector<upstream_info> infos, routing_settings settings = {})
        : selector(settings, "self", own_domain, timers, random)
    {
        selector.update(infos);
    }

    std::string choose(std::vector<std::string> excluded_upstreams = {}, std::uint64_t bytes = 100)
    {
        return selector.choose("orders", {excluded_upstreams, bytes}).value_or("");
    }
    /// Sends calls 1 ms apart and ends each at once: with a response after the latency of the chosen upstream, or with
    /// a failure if it has no latency. Returns the number of calls per upstream.
    std::map<std::string, int> send_calls(int calls, const std::map<std::string, duration>& latencies,
                                          std::uint64_t bytes = 100, const load_report& report = {})
    {
        std::map<std::string, int> chosen;
        for (int call = 0; call < calls; ++call) {
            timers.advance(duration{1'000});
            const std::string name = choose({}, bytes);
            ++chosen[name];
            if (name.empty())
                continue;
            selector.on_sent(name, bytes);
            if (const auto it = latencies.find(name); it != latencies.end()) {
                selector.on_response(name, it->second, report, bytes);
            }
            else {
                selector.on_failed(name);
            }
        }
        return chosen;
    }

    virtual_timer_service timers;
    seeded_random_source random{11};
    upstream_selector selector;
};

} // namespace

BOOST_AUTO_TEST_CASE(chooses_only_serving_upstreams_that_are_not_excluded)
{
    auto leaving = info("leaving", own_domain);
    leaving.state = upstream_state::leaving;
    auto starting = info("starting", own_domain);
    starting.state = upstream_state::starting;
    fixture test({info("a", own_domain), leaving, starting});
    BOOST_TEST(test.choose() == "a");
    BOOST_TEST(test.choose({"a"}).empty());
    BOOST_TEST(!test.selector.choose("stores", {}).has_value());
}

BOOST_AUTO_TEST_CASE(subset_is_bounded_stable_and_spans_domains)
{
    std::vector<upstream_info> infos;
    infos.reserve(30);
    for (int index = 0; index < 30; ++index) {
        infos.push_back(info(fmt::format("u{}", index), index < 20   ? own_domain
                                                        : index < 25 ? other_domain
                                                                     : other_region));
    }
    fixture test(infos);
    const auto before = test.selector.subset("orders");
    BOOST_TEST(before.size() == 8U);
    std::set<std::string> domains;
    for (const std::string& name : before) {
        const auto it = std::ranges::find(infos, name, &upstream_info::name);
        domains.insert(it->location.failure_domain);
    }
    BOOST_TEST(domains.size() == 3U);
    // One lost upstream must move at most one choice.
    std::erase_if(infos, [&](const upstream_info& each) { return each.name == before.front(); });
    test.selector.update(infos);
    const auto after = test.selector.subset("orders");
    BOOST_TEST(std::ranges::count_if(
                   after, [&](const auto& name) { return std::ranges::find(before, name) == before.end(); }) == 1);
}

BOOST_AUTO_TEST_CASE(prefers_the_own_domain_until_it_is_slow)
{
    fixture test({info("a", own_domain), info("b", other_domain), info("c", other_region)});
    const auto normal = test.send_calls(500, {{"a", normal_latency}, {"b", normal_latency}, {"c", normal_latency}});
    BOOST_TEST(normal.at("a") == 500);
    const auto slow = test.send_calls(2'000, {{"a", 3 * normal_latency}, {"b", normal_latency}, {"c", normal_latency}});
    BOOST_TEST(slow.at("b") > 1'000);
}

// Guards against calls that go to another failure domain only because some calls are in flight to the upstream of the
// own domain, although it has free capacity.
BOOST_AUTO_TEST_CASE(calls_stay_in_a_domain_with_free_capacity)
{
    fixture test({info("a", own_domain), info("b", other_domain)});
    load_report report;
    report.concurrency_limit = 100;
    report.utilisation = 0.3F;
    test.send_calls(50, {{"a", normal_latency}, {"b", normal_latency}}, 100, report);
    for (int call = 0; call < 20; ++call) {
        test.timers.advance(duration{1'000});
        BOOST_TEST(test.choose() == "a");
        test.selector.on_sent("a", 100);
    }
    // When all slots of the upstream in the own domain are in use, calls go to the other domain as well.
    report.utilisation = 1;
    test.selector.on_response("a", normal_latency, report, 100);
    BOOST_TEST(test.choose() == "b");
}

// Guards against calls to another region without a sufficient gain in latency, or beyond the byte budget of the link:
// it has a low capacity and is billed by volume.
BOOST_AUTO_TEST_CASE(uses_another_region_for_a_large_gain_within_the_byte_budget)
{
    const std::vector<upstream_info> infos{info("a", own_domain), info("c", other_region)};
    fixture test(infos);
    const auto small_gain = test.send_calls(2'000, {{"a", duration{85'000}}, {"c", normal_latency}});
    BOOST_TEST(!small_gain.contains("c"));
    const auto large_gain = test.send_calls(2'000, {{"a", duration{400'000}}, {"c", normal_latency}});
    BOOST_TEST(large_gain.at("c") > 1'000);
    // Calls of 100 kB in each direction within 2 s, from a full bucket of 3 MB (one second) that refills at 3 MB/s.
    const auto large_requests = test.send_calls(2'000, {{"a", duration{400'000}}, {"c", normal_latency}}, 100'000);
    BOOST_TEST(large_requests.at("c") <= 47);
}

BOOST_AUTO_TEST_CASE(avoids_an_unresponsive_upstream)
{
    fixture test({info("a", own_domain), info("b", own_domain), info("c", own_domain)});
    std::map<std::string, int> chosen;
    for (int call = 0; call < 300; ++call) {
        test.timers.advance(duration{1'000});
        const std::string name = test.choose();
        ++chosen[name];
        test.selector.on_sent(name, 100);
        if (name != "a")
            test.selector.on_response(name, normal_latency, {}, 100);
    }
    BOOST_TEST(chosen["a"] < 30);
}

BOOST_AUTO_TEST_CASE(ejects_an_outlier_and_retries_it_later)
{
    fixture test({info("a", own_domain), info("b", own_domain), info("c", own_domain)});
    test.send_calls(100, {{"a", normal_latency}, {"b", normal_latency}, {"c", normal_latency}});
    test.send_calls(200, {{"b", normal_latency}, {"c", normal_latency}});
    const auto while_ejected = test.send_calls(100, {{"b", normal_latency}, {"c", normal_latency}});
    BOOST_TEST(!while_ejected.contains("a"));
    test.timers.advance(duration{60'000'000});
    const auto later = test.send_calls(300, {{"a", normal_latency}, {"b", normal_latency}, {"c", normal_latency}});
    BOOST_TEST(later.at("a") > 30);
}

// Guards against ejecting all upstreams when all of them fail, which would turn an overload into an outage.
BOOST_AUTO_TEST_CASE(never_ejects_all_upstreams)
{
    fixture test({info("a", own_domain), info("b", own_domain), info("c", own_domain)});
    const auto chosen = test.send_calls(300, {});
    BOOST_TEST(!chosen.contains(""));
    BOOST_TEST(chosen.size() == 3U);
}

BOOST_AUTO_TEST_CASE(ramps_up_a_new_upstream)
{
    fixture test({info("a", own_domain), info("cold", own_domain, time_point{})});
    const std::map<std::string, duration> equal{{"a", normal_latency}, {"cold", normal_latency}};
    const auto early = test.send_calls(1'000, equal);
    test.timers.advance(duration{10'000'000});
    const auto late = test.send_calls(1'000, equal);
    BOOST_TEST(early.at("cold") < 150);
    BOOST_TEST(late.at("cold") > 400);
}

// Guards against an upstream that never gets its first call. Without a response its concurrency limit is unknown; when
// that counted as a limit of 1, an upstream beside others with a limit of 30 never got a call.
BOOST_AUTO_TEST_CASE(new_upstream_gets_its_share_beside_upstreams_with_a_limit)
{
    std::vector<upstream_info> infos{info("a", own_domain), info("b", own_domain)};
    fixture test(infos);
    load_report report;
    report.concurrency_limit = 30;
    const std::map<std::string, duration> equal{{"a", normal_latency}, {"b", normal_latency}, {"c", normal_latency}};
    test.send_calls(500, equal, 100, report);
    infos.push_back(info("c", own_domain));
    test.selector.update(infos);
    auto chosen = test.send_calls(300, equal, 100, report);
    for (const char* name : {"a", "b", "c"})
        BOOST_TEST(chosen[name] > 50);
}

// Until its first response, the concurrency limit of an upstream is the one that its node announces to the members.
BOOST_AUTO_TEST_CASE(announced_limit_applies_until_the_first_response)
{
    std::vector<upstream_info> infos{info("small", own_domain), info("large", own_domain)};
    infos[0].concurrency_limit = 2;
    infos[1].concurrency_limit = 20;
    fixture test(infos);
    std::map<std::string, int> chosen;
    for (int call = 0; call < 110; ++call) {
        const std::string name = test.choose();
        ++chosen[name];
        test.selector.on_sent(name, 100);
    }
    BOOST_TEST(chosen["small"] >= 8);
    BOOST_TEST(chosen["small"] <= 12);
}

// Guards against a restarted upstream that stays ejected because of the failures of its previous incarnation.
BOOST_AUTO_TEST_CASE(new_incarnation_starts_without_observations)
{
    std::vector<upstream_info> infos{info("a", own_domain), info("b", own_domain)};
    fixture test(infos);
    test.send_calls(20, {{"a", normal_latency}, {"b", normal_latency}});
    test.send_calls(60, {{"b", normal_latency}});
    BOOST_TEST(!test.send_calls(20, {{"b", normal_latency}}).contains("a"));
    infos.front().incarnation = 2;
    test.selector.update(infos);
    BOOST_TEST(test.send_calls(100, {{"a", normal_latency}, {"b", normal_latency}}).at("a") > 20);
}
