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

const node_location here{"d1", "r1"};
const node_location near{"d2", "r1"};
const node_location remote{"d3", "r2"};
constexpr time_point long_ago{duration{-60'000'000}};
constexpr duration normal_latency{50'000};

upstream_info info(std::string name, node_location location, time_point since = long_ago)
{
    return {std::move(name), 1, "orders", std::move(location), upstream_state::serving, since};
}

struct fixture {
    explicit fixture(std::vector<upstream_info> infos, routing_settings settings = {})
        : selector(settings, "self", here, timers, random)
    {
        selector.update(infos);
    }

    std::string choose(std::vector<std::string> excluded = {}, std::uint64_t bytes = 100)
    {
        return selector.choose("orders", {excluded, bytes}).value_or("");
    }
    /// Lets every choice end at once with the upstream's latency; a missing one fails.
    std::map<std::string, int> use(int calls, const std::map<std::string, duration>& latencies,
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
                selector.on_answer(name, it->second, report, bytes);
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

BOOST_AUTO_TEST_CASE(chooses_only_what_serves_and_is_not_excluded)
{
    auto leaving = info("leaving", here);
    leaving.state = upstream_state::leaving;
    auto starting = info("starting", here);
    starting.state = upstream_state::starting;
    fixture test({info("a", here), leaving, starting});
    BOOST_TEST(test.choose() == "a");
    BOOST_TEST(test.choose({"a"}).empty());
    BOOST_TEST(!test.selector.choose("stores", {}).has_value());
}

BOOST_AUTO_TEST_CASE(subset_is_bounded_stable_and_spans_domains)
{
    std::vector<upstream_info> infos;
    infos.reserve(30);
    for (int index = 0; index < 30; ++index)
        infos.push_back(info(fmt::format("u{}", index), index < 20 ? here : index < 25 ? near : remote));
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

BOOST_AUTO_TEST_CASE(prefers_its_own_domain_and_spills_when_it_is_slow)
{
    fixture test({info("a", here), info("b", near), info("c", remote)});
    const auto calm = test.use(500, {{"a", normal_latency}, {"b", normal_latency}, {"c", normal_latency}});
    BOOST_TEST(calm.at("a") == 500);
    const auto slow = test.use(2'000, {{"a", 3 * normal_latency}, {"b", normal_latency}, {"c", normal_latency}});
    BOOST_TEST(slow.at("b") > 1'000);
}

// Guards against calls that leave the failure domain because a few more of them happen to be in flight in it.
BOOST_AUTO_TEST_CASE(calls_in_flight_do_not_leave_a_domain_with_room)
{
    fixture test({info("a", here), info("b", near)});
    load_report report;
    report.concurrency_limit = 100;
    report.utilisation = 0.3F;
    test.use(50, {{"a", normal_latency}, {"b", normal_latency}}, 100, report);
    for (int call = 0; call < 20; ++call) {
        test.timers.advance(duration{1'000});
        BOOST_TEST(test.choose() == "a");
        test.selector.on_sent("a", 100);
    }
    // Used to the full, the near one shares its load.
    report.utilisation = 1;
    test.selector.on_answer("a", normal_latency, report, 100);
    BOOST_TEST(test.choose() == "b");
}

// The link to the other region is narrow and billed by volume.
BOOST_AUTO_TEST_CASE(uses_the_other_region_for_a_large_gain_within_the_byte_budget)
{
    const std::vector<upstream_info> infos{info("a", here), info("c", remote)};
    fixture test(infos);
    const auto small = test.use(2'000, {{"a", duration{85'000}}, {"c", normal_latency}});
    BOOST_TEST(!small.contains("c"));
    const auto large = test.use(2'000, {{"a", duration{400'000}}, {"c", normal_latency}});
    BOOST_TEST(large.at("c") > 1'000);
    // One second of the budget of 3 MB/s and what it earns in 2 s, in calls of 100 kB in each direction.
    const auto bulky = test.use(2'000, {{"a", duration{400'000}}, {"c", normal_latency}}, 100'000);
    BOOST_TEST(bulky.at("c") <= 47);
}

BOOST_AUTO_TEST_CASE(avoids_an_upstream_that_does_not_answer)
{
    fixture test({info("a", here), info("b", here), info("c", here)});
    std::map<std::string, int> chosen;
    for (int call = 0; call < 300; ++call) {
        test.timers.advance(duration{1'000});
        const std::string name = test.choose();
        ++chosen[name];
        test.selector.on_sent(name, 100);
        if (name != "a")
            test.selector.on_answer(name, normal_latency, {}, 100);
    }
    BOOST_TEST(chosen["a"] < 30);
}

BOOST_AUTO_TEST_CASE(leaves_out_an_outlier_and_tries_it_again)
{
    fixture test({info("a", here), info("b", here), info("c", here)});
    test.use(100, {{"a", normal_latency}, {"b", normal_latency}, {"c", normal_latency}});
    test.use(200, {{"b", normal_latency}, {"c", normal_latency}});
    const auto during = test.use(100, {{"b", normal_latency}, {"c", normal_latency}});
    BOOST_TEST(!during.contains("a"));
    test.timers.advance(duration{60'000'000});
    const auto later = test.use(300, {{"a", normal_latency}, {"b", normal_latency}, {"c", normal_latency}});
    BOOST_TEST(later.at("a") > 30);
}

// When all fail, leaving them out would turn an overload into an outage.
BOOST_AUTO_TEST_CASE(never_leaves_out_all)
{
    fixture test({info("a", here), info("b", here), info("c", here)});
    const auto chosen = test.use(300, {});
    BOOST_TEST(!chosen.contains(""));
    BOOST_TEST(chosen.size() == 3U);
}

BOOST_AUTO_TEST_CASE(ramps_a_cold_upstream_up)
{
    fixture test({info("a", here), info("cold", here, time_point{})});
    const std::map<std::string, duration> equal{{"a", normal_latency}, {"cold", normal_latency}};
    const auto early = test.use(1'000, equal);
    test.timers.advance(duration{10'000'000});
    const auto late = test.use(1'000, equal);
    BOOST_TEST(early.at("cold") < 150);
    BOOST_TEST(late.at("cold") > 400);
}

// An upstream without answers, and so without a known limit, was compared as if it took one call at a time: beside
// others with a limit of 30 it never got a first call.
BOOST_AUTO_TEST_CASE(newcomer_gets_its_share_beside_upstreams_with_a_limit)
{
    std::vector<upstream_info> infos{info("a", here), info("b", here)};
    fixture test(infos);
    load_report report;
    report.concurrency_limit = 30;
    const std::map<std::string, duration> equal{{"a", normal_latency}, {"b", normal_latency}, {"c", normal_latency}};
    test.use(500, equal, 100, report);
    infos.push_back(info("c", here));
    test.selector.update(infos);
    auto chosen = test.use(300, equal, 100, report);
    for (const char* name : {"a", "b", "c"})
        BOOST_TEST(chosen[name] > 50);
}

// The members say how many calls an upstream takes at once, before its first answer does.
BOOST_AUTO_TEST_CASE(announced_limit_counts_until_the_first_answer)
{
    std::vector<upstream_info> infos{info("small", here), info("large", here)};
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

// A restarted upstream must not inherit the failures of its predecessor.
BOOST_AUTO_TEST_CASE(new_incarnation_starts_without_observations)
{
    std::vector<upstream_info> infos{info("a", here), info("b", here)};
    fixture test(infos);
    test.use(20, {{"a", normal_latency}, {"b", normal_latency}});
    test.use(60, {{"b", normal_latency}});
    BOOST_TEST(!test.use(20, {{"b", normal_latency}}).contains("a"));
    infos.front().incarnation = 2;
    test.selector.update(infos);
    BOOST_TEST(test.use(100, {{"a", normal_latency}, {"b", normal_latency}}).at("a") > 20);
}
