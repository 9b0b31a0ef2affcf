#include "plugins/shares/domaintargets.h"
#include "plugins/shares/tokenbucket.h"
#include "tools/sharesexperiment/sharecluster.h"

#include <boost/test/unit_test.hpp>

namespace mulberry::shares {

namespace {

constexpr figure hundred{100 * one_token, 50 * one_token};

time_point at(duration since_start)
{
    return time_point{since_start};
}

} // namespace

// Guards against tokens gained by rounding when time passes in many small steps over many split parts.
BOOST_AUTO_TEST_CASE(split_buckets_accrue_no_more_than_the_whole)
{
    seeded_random_source random(1);
    token_bucket whole_bucket(hundred, at(duration{0}));
    whole_bucket.merge({whole, whole, 0});
    std::vector<token_bucket> split(7, token_bucket(hundred, at(duration{0})));
    token_bucket rest(hundred, at(duration{0}));
    rest.merge({whole, whole, 0});
    for (token_bucket& bucket : split)
        bucket.merge(rest.split({whole / 9, whole / 9, 0}));
    for (std::int64_t step = 1; step <= 5000; ++step) {
        const time_point now = at(duration{step * 37});
        for (token_bucket& bucket : split)
            bucket.advance(now);
        token_bucket& giver = split[random.uniform(split.size())];
        split[random.uniform(split.size())].merge(
            giver.split({giver.rate_parts() / 3, giver.capacity_parts() / 3, giver.level() / 3}));
    }
    share sum;
    for (token_bucket& bucket : split)
        sum += bucket.release();
    rest.advance(at(duration{5000 * 37}));
    whole_bucket.advance(at(duration{5000 * 37}));
    sum += rest.release();
    const share all = whole_bucket.release();
    BOOST_TEST(sum.rate == whole);
    BOOST_TEST(sum.capacity == whole);
    BOOST_TEST(sum.level <= all.level);
    // Each bucket may hold back less than one micro-token.
    BOOST_TEST(sum.level >= all.level - 8);
}

// Guards against an overflow that would grant tokens after a long idle time or with the largest figures.
BOOST_AUTO_TEST_CASE(long_idle_time_fills_to_the_capacity)
{
    token_bucket bucket({max_rate, max_burst}, at(duration{0}));
    bucket.merge({whole, whole, 0});
    bucket.advance(at(std::chrono::hours(24 * 365 * 100)));
    BOOST_TEST(bucket.level() == max_burst);
}

// Guards against a smaller figure that leaves tokens above its burst.
BOOST_AUTO_TEST_CASE(smaller_figure_cuts_the_level)
{
    token_bucket bucket(hundred, at(duration{0}));
    bucket.merge({whole, whole, 50 * one_token});
    bucket.set_limits({10 * one_token, 5 * one_token});
    BOOST_TEST(bucket.level() == 5 * one_token);
    BOOST_TEST(bucket.time_until(6 * one_token).count() == duration::max().count());
}

// Guards against targets that together exceed the figure, or that leave a domain below its floor.
BOOST_AUTO_TEST_CASE(domain_targets_stay_within_the_figure)
{
    seeded_random_source random(2);
    for (int round = 0; round < 1000; ++round) {
        const figure limits{static_cast<micro_tokens>(1 + random.uniform(1000)) * one_token,
                            static_cast<micro_tokens>(1 + random.uniform(1000)) * one_token};
        std::map<std::string, domain_demand> domains;
        parts locked = 0;
        for (const char* name : {"a", "b", "c", "d"}) {
            domains[name].demand = static_cast<micro_tokens>(random.uniform(2'000'000'000));
            domains[name].locked = static_cast<parts>(random.uniform(whole / 10));
            locked += domains[name].locked;
        }
        parts sum = locked;
        for (const auto& [name, target] : domain_targets(limits, domains)) {
            BOOST_TEST(target >= domain_floor(limits, domains.size()));
            sum += target;
        }
        const parts floors = 4 * domain_floor(limits, domains.size());
        BOOST_TEST(sum <= std::max(whole, floors + locked));
    }
}

namespace {

struct cluster_fixture {
    share_cluster cluster{cluster_settings{}};
    std::uint64_t excess = 0;

    cluster_fixture()
    {
        cluster.on_excess = [this](const std::string&) { ++excess; };
    }

    /// Offers requests at a steady rate for some time, the nodes in turn, and returns how many were admitted.
    std::uint64_t offer(const std::vector<std::size_t>& nodes, const std::string& organisation, std::int64_t rate,
                        duration length)
    {
        const std::uint64_t before = cluster.admitted(organisation);
        const duration gap = std::chrono::duration_cast<duration>(std::chrono::seconds(1)) / rate;
        for (std::int64_t i = 0; i < length / gap; ++i) {
            cluster.request(nodes[static_cast<std::size_t>(i) % nodes.size()], organisation);
            cluster.advance(gap);
        }
        return cluster.admitted(organisation) - before;
    }

    std::vector<std::size_t> all_nodes()
    {
        std::vector<std::size_t> nodes(cluster.size());
        for (std::size_t i = 0; i < nodes.size(); ++i)
            nodes[i] = i;
        return nodes;
    }
};

} // namespace

// Guards against wrongful refusals at a steady load within the rate.
BOOST_FIXTURE_TEST_CASE(load_within_the_rate_is_admitted, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    offer(all_nodes(), "a", 160, std::chrono::seconds(40));
    const std::uint64_t refused = cluster.refused("a");
    offer(all_nodes(), "a", 160, std::chrono::seconds(60));
    BOOST_TEST(cluster.refused("a") == refused);
    BOOST_TEST(excess == 0U);
}

// Guards against shares that stay where the load was.
BOOST_FIXTURE_TEST_CASE(shares_follow_the_load, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    const auto first = cluster.nodes_in("curepipe");
    const auto second = cluster.nodes_in("caudan");
    offer(first, "a", 400, std::chrono::seconds(60));
    const std::uint64_t in_first = offer(first, "a", 400, std::chrono::seconds(20));
    offer(second, "a", 400, std::chrono::seconds(60));
    const std::uint64_t in_second = offer(second, "a", 400, std::chrono::seconds(20));
    // The three other floors are 7.5% of the rate.
    BOOST_TEST(in_first >= 200 * 20 * 85 / 100);
    BOOST_TEST(in_second >= 200 * 20 * 85 / 100);
    BOOST_TEST(excess == 0U);
}

// Guards against a refusal that tells nothing, and against requests that never hear an answer.
BOOST_FIXTURE_TEST_CASE(refusal_names_the_rate_and_a_time, cluster_fixture)
{
    cluster.set_limits("a", {10, 10});
    cluster.advance(std::chrono::seconds(30));
    int answered = 0;
    std::optional<refusal> last;
    for (int i = 0; i < 100; ++i) {
        cluster.service(0).admit("a", [&](std::optional<refusal> refused) {
            ++answered;
            if (refused)
                last = refused;
        });
    }
    cluster.advance(std::chrono::milliseconds(21));
    BOOST_TEST(answered == 100);
    BOOST_REQUIRE(last.has_value());
    BOOST_TEST((last->reason == refusal_reason::rate_exceeded));
    BOOST_TEST((last->result == outcome::not_run));
    BOOST_TEST(last->retry_after.count() > 0);
}

// Guards against shares lost by a planned stop of the keeper: the successor must have them at once, not after the
// lease.
BOOST_FIXTURE_TEST_CASE(planned_stop_of_a_keeper_returns_its_share, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    const auto nodes = cluster.nodes_in("curepipe");
    offer(nodes, "a", 400, std::chrono::seconds(60));
    const std::size_t keeper = cluster.keeper_of("curepipe");
    BOOST_REQUIRE(keeper < cluster.size());
    bool drained = false;
    cluster.drain(keeper, [&] { drained = true; });
    offer(nodes, "a", 400, std::chrono::seconds(30));
    BOOST_TEST(drained);
    const std::uint64_t admitted = offer(nodes, "a", 400, std::chrono::seconds(20));
    BOOST_TEST(admitted >= 200 * 20 * 80 / 100);
    BOOST_TEST(excess == 0U);
}

// Guards against a crash of the keeper that takes the nodes' grants with it.
BOOST_FIXTURE_TEST_CASE(successor_takes_grants_over, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    const auto nodes = cluster.nodes_in("curepipe");
    offer(nodes, "a", 180, std::chrono::seconds(60));
    const std::size_t keeper = cluster.keeper_of("curepipe");
    BOOST_REQUIRE(keeper < cluster.size());
    cluster.kill(keeper);
    cluster.report_dead(keeper);
    // Longer than a grant lease, so that only a successor can have renewed them.
    offer(nodes, "a", 180, std::chrono::minutes(7));
    const std::uint64_t admitted = offer(nodes, "a", 180, std::chrono::seconds(20));
    BOOST_TEST(cluster.keeper_of("curepipe") < cluster.size());
    BOOST_TEST(admitted >= 200 * 20 / 2);
    BOOST_TEST(excess == 0U);
}

// Guards against a figure that was cut but is still exceeded by nodes that know of it, and against one that was raised
// but cannot be used.
BOOST_FIXTURE_TEST_CASE(changed_figure_takes_effect_at_once, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    offer(all_nodes(), "a", 400, std::chrono::seconds(60));
    cluster.set_limits("a", {50, 20});
    const std::uint64_t cut = offer(all_nodes(), "a", 400, std::chrono::seconds(30));
    BOOST_TEST(cut >= 50 * 30 * 85 / 100);
    cluster.set_limits("a", {400, 200});
    const std::uint64_t raised = offer(all_nodes(), "a", 800, std::chrono::seconds(30));
    BOOST_TEST(raised >= 400 * 30 * 85 / 100);
    BOOST_TEST(excess == 0U);
}

// Guards against a part of the fleet that heard of a smaller figure late: the sum must stay below the larger one.
BOOST_FIXTURE_TEST_CASE(figure_that_spreads_slowly_stays_below_the_larger, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    offer(all_nodes(), "a", 400, std::chrono::seconds(30));
    for (std::size_t i = 0; i < cluster.size(); i += 2)
        cluster.set_limits_at(i, "a", {50, 20});
    offer(all_nodes(), "a", 400, std::chrono::seconds(30));
    for (std::size_t i = 1; i < cluster.size(); i += 2)
        cluster.set_limits_at(i, "a", {50, 20});
    offer(all_nodes(), "a", 400, std::chrono::seconds(30));
    BOOST_TEST(excess == 0U);
}

// Guards against payloads that crash the receiver or give it shares.
BOOST_FIXTURE_TEST_CASE(unreadable_payloads_are_dropped, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    cluster.advance(std::chrono::seconds(20));
    seeded_random_source random(3);
    for (int i = 0; i < 2000; ++i) {
        std::string payload(random.uniform(60), '\0');
        for (char& byte : payload)
            byte = static_cast<char>(random.next());
        cluster.service(0).on_message("floreal-0", payload);
    }
    offer(all_nodes(), "a", 400, std::chrono::seconds(20));
    BOOST_TEST(excess == 0U);
}

// Guards against a node that is cut off and takes the role from a keeper that the others still reach.
BOOST_FIXTURE_TEST_CASE(keeper_that_renews_is_spared, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    offer(all_nodes(), "a", 160, std::chrono::seconds(60));
    const std::size_t keeper = cluster.keeper_of("curepipe");
    const auto nodes = cluster.nodes_in("curepipe");
    const std::size_t cut = nodes.front() == keeper ? nodes.back() : nodes.front();
    cluster.network().set_group(cluster.name(cut), 1);
    offer(all_nodes(), "a", 160, std::chrono::minutes(3));
    BOOST_TEST(cluster.keeper_of("curepipe") == keeper);
}

// Guards against a keeper that died before a node joined, so that membership never tells that node.
BOOST_FIXTURE_TEST_CASE(keeper_that_stopped_renewing_is_replaced, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    offer(all_nodes(), "a", 160, std::chrono::seconds(60));
    cluster.kill(cluster.keeper_of("curepipe"));
    cluster.advance(std::chrono::minutes(5));
    BOOST_TEST(cluster.keeper_of("curepipe") < cluster.size());
}

// Guards against the share of a lost domain that stays locked after its lease, or is used before.
BOOST_FIXTURE_TEST_CASE(share_of_a_lost_domain_is_taken_after_its_lease, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    offer(all_nodes(), "a", 400, std::chrono::seconds(60));
    for (const std::size_t node : cluster.nodes_in("caudan"))
        cluster.kill(node);
    std::vector<std::size_t> others = cluster.nodes_in("curepipe");
    for (const std::size_t node : cluster.nodes_in("quay"))
        others.push_back(node);
    cluster.advance(std::chrono::minutes(70));
    offer(others, "a", 400, std::chrono::seconds(60));
    const std::uint64_t before = offer(others, "a", 400, std::chrono::seconds(20));
    BOOST_TEST(before <= 200 * 20 * 3 / 4 + 100);
    cluster.advance(std::chrono::minutes(8));
    offer(others, "a", 400, std::chrono::seconds(60));
    const std::uint64_t after = offer(others, "a", 400, std::chrono::seconds(20));
    BOOST_TEST(after >= 200 * 20 * 85 / 100);
    BOOST_TEST(excess == 0U);
}

// Guards against refusals in a domain whose small bucket is empty while another domain has tokens.
BOOST_FIXTURE_TEST_CASE(empty_domain_borrows_from_another, cluster_fixture)
{
    cluster.set_limits("a", {20, 40});
    offer(all_nodes(), "a", 10, std::chrono::minutes(3));
    // More than the domain's quarter of the burst, less than two quarters.
    const std::uint64_t before = cluster.admitted("a");
    for (int i = 0; i < 15; ++i) {
        cluster.request(cluster.nodes_in("curepipe")[static_cast<std::size_t>(i) % 4], "a");
        cluster.advance(std::chrono::milliseconds(10));
    }
    cluster.advance(std::chrono::milliseconds(50));
    BOOST_TEST(cluster.admitted("a") - before == 15U);
    BOOST_TEST(excess == 0U);
}

} // namespace mulberry::shares
