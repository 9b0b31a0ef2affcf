#include "plugins/shares/domaintargets.h"
#include "plugins/shares/tokenbucket.h"
#include "tools/sharesexperiment/sharecluster.h"

#include <boost/test/unit_test.hpp>

namespace mulberry::shares {

namespace {

constexpr rate_limit limits_of_100{100 * one_token, 50 * one_token};

time_point at(duration since_start)
{
    return time_point{since_start};
}

} // namespace

// Guards against rounding that creates tokens when many split shares advance in many small steps.
BOOST_AUTO_TEST_CASE(split_buckets_accrue_no_more_than_one_bucket)
{
    seeded_random_source random(1);
    token_bucket unsplit_bucket(limits_of_100, at(duration{0}));
    unsplit_bucket.merge({full_share, full_share, 0});
    std::vector<token_bucket> split(7, token_bucket(limits_of_100, at(duration{0})));
    token_bucket remaining_bucket(limits_of_100, at(duration{0}));
    remaining_bucket.merge({full_share, full_share, 0});
    for (token_bucket& bucket : split)
        bucket.merge(remaining_bucket.split({full_share / 9, full_share / 9, 0}));
    for (std::int64_t step = 1; step <= 5000; ++step) {
        const time_point now = at(duration{step * 37});
        for (token_bucket& bucket : split)
            bucket.advance(now);
        token_bucket& source = split[random.uniform(split.size())];
        split[random.uniform(split.size())].merge(
            source.split({source.rate_units() / 3, source.capacity_units() / 3, source.level() / 3}));
    }
    share sum;
    for (token_bucket& bucket : split)
        sum += bucket.release();
    remaining_bucket.advance(at(duration{5000 * 37}));
    unsplit_bucket.advance(at(duration{5000 * 37}));
    sum += remaining_bucket.release();
    const share unsplit_share = unsplit_bucket.release();
    BOOST_TEST(sum.rate == full_share);
    BOOST_TEST(sum.capacity == full_share);
    BOOST_TEST(sum.level <= unsplit_share.level);
    // Each bucket may withhold less than one micro-token.
    BOOST_TEST(sum.level >= unsplit_share.level - 8);
}

// Guards against an integer overflow that grants tokens after a long idle time or with the largest limits.
BOOST_AUTO_TEST_CASE(long_idle_time_fills_to_the_capacity)
{
    token_bucket bucket({max_rate, max_burst}, at(duration{0}));
    bucket.merge({full_share, full_share, 0});
    bucket.advance(at(std::chrono::hours(24 * 365 * 100)));
    BOOST_TEST(bucket.level() == max_burst);
}

// Guards against a reduced rate limit that leaves more tokens in the bucket than its burst.
BOOST_AUTO_TEST_CASE(smaller_rate_limit_reduces_the_level)
{
    token_bucket bucket(limits_of_100, at(duration{0}));
    bucket.merge({full_share, full_share, 50 * one_token});
    bucket.set_limits({10 * one_token, 5 * one_token});
    BOOST_TEST(bucket.level() == 5 * one_token);
    BOOST_TEST(bucket.time_until(6 * one_token).count() == duration::max().count());
}

// Guards against targets that exceed the rate limit in total, or that leave a domain below its minimum share.
BOOST_AUTO_TEST_CASE(domain_targets_stay_within_the_rate_limit)
{
    seeded_random_source random(2);
    for (int round = 0; round < 1000; ++round) {
        const rate_limit limits{static_cast<micro_tokens>(1 + random.uniform(1000)) * one_token,
                                static_cast<micro_tokens>(1 + random.uniform(1000)) * one_token};
        std::map<std::string, domain_demand> domains;
        share_units locked = 0;
        for (const char* name : {"a", "b", "c", "d"}) {
            domains[name].demand = static_cast<micro_tokens>(random.uniform(2'000'000'000));
            domains[name].locked = static_cast<share_units>(random.uniform(full_share / 10));
            locked += domains[name].locked;
        }
        share_units sum = locked;
        for (const auto& [name, target] : domain_targets(limits, domains)) {
            BOOST_TEST(target >= domain_floor(limits, domains.size()));
            sum += target;
        }
        const share_units floors = 4 * domain_floor(limits, domains.size());
        BOOST_TEST(sum <= std::max(full_share, floors + locked));
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

    /// Offers requests at a steady rate, to the nodes in turn, and returns the number admitted.
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

// Guards against shares that stay in a domain after its load has moved to another one.
BOOST_FIXTURE_TEST_CASE(shares_follow_the_load, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    const auto first = cluster.nodes_in("curepipe");
    const auto second = cluster.nodes_in("caudan");
    offer(first, "a", 400, std::chrono::seconds(60));
    const std::uint64_t in_first = offer(first, "a", 400, std::chrono::seconds(20));
    offer(second, "a", 400, std::chrono::seconds(60));
    const std::uint64_t in_second = offer(second, "a", 400, std::chrono::seconds(20));
    // The minimum shares of the three other domains amount to 7.5% of the rate.
    BOOST_TEST(in_first >= 200 * 20 * 85 / 100);
    BOOST_TEST(in_second >= 200 * 20 * 85 / 100);
    BOOST_TEST(excess == 0U);
}

// Guards against a refusal without reason and Retry-After, and against requests that never get a response.
BOOST_FIXTURE_TEST_CASE(refusal_has_reason_and_retry_after, cluster_fixture)
{
    cluster.set_limits("a", {10, 10});
    cluster.advance(std::chrono::seconds(30));
    int responses = 0;
    std::optional<refusal> last;
    for (int i = 0; i < 100; ++i) {
        cluster.service(0).admit("a", [&](std::optional<refusal> refused) {
            ++responses;
            if (refused)
                last = refused;
        });
    }
    cluster.advance(std::chrono::milliseconds(21));
    BOOST_TEST(responses == 100);
    BOOST_REQUIRE(last.has_value());
    BOOST_TEST((last->reason == refusal_reason::rate_exceeded));
    BOOST_TEST((last->result == outcome::not_run));
    BOOST_TEST(last->retry_after.count() > 0);
}

// Guards against shares that are lost at a planned stop of the coordinator: the successor must have them immediately,
// before the lease expires.
BOOST_FIXTURE_TEST_CASE(planned_stop_of_coordinator_releases_its_share, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    const auto nodes = cluster.nodes_in("curepipe");
    offer(nodes, "a", 400, std::chrono::seconds(60));
    const std::size_t coordinator = cluster.coordinator_of("curepipe");
    BOOST_REQUIRE(coordinator < cluster.size());
    bool drained = false;
    cluster.drain(coordinator, [&] { drained = true; });
    offer(nodes, "a", 400, std::chrono::seconds(30));
    BOOST_TEST(drained);
    const std::uint64_t admitted = offer(nodes, "a", 400, std::chrono::seconds(20));
    BOOST_TEST(admitted >= 200 * 20 * 80 / 100);
    BOOST_TEST(excess == 0U);
}

// Guards against a crash of the coordinator that invalidates the nodes' grants.
BOOST_FIXTURE_TEST_CASE(successor_adopts_existing_grants, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    const auto nodes = cluster.nodes_in("curepipe");
    offer(nodes, "a", 180, std::chrono::seconds(60));
    const std::size_t coordinator = cluster.coordinator_of("curepipe");
    BOOST_REQUIRE(coordinator < cluster.size());
    cluster.kill(coordinator);
    cluster.report_dead(coordinator);
    // Longer than a grant lease, so only a successor can have renewed the grants.
    offer(nodes, "a", 180, std::chrono::minutes(7));
    const std::uint64_t admitted = offer(nodes, "a", 180, std::chrono::seconds(20));
    BOOST_TEST(cluster.coordinator_of("curepipe") < cluster.size());
    BOOST_TEST(admitted >= 200 * 20 / 2);
    BOOST_TEST(excess == 0U);
}

// Guards against a reduced rate limit that nodes still exceed after they have received it, and against a raised one
// that cannot be used.
BOOST_FIXTURE_TEST_CASE(changed_rate_limit_takes_effect_at_once, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    offer(all_nodes(), "a", 400, std::chrono::seconds(60));
    cluster.set_limits("a", {50, 20});
    const std::uint64_t admitted_after_cut = offer(all_nodes(), "a", 400, std::chrono::seconds(30));
    BOOST_TEST(admitted_after_cut >= 50 * 30 * 85 / 100);
    cluster.set_limits("a", {400, 200});
    const std::uint64_t admitted_after_raise = offer(all_nodes(), "a", 800, std::chrono::seconds(30));
    BOOST_TEST(admitted_after_raise >= 400 * 30 * 85 / 100);
    BOOST_TEST(excess == 0U);
}

// Guards against excess while only a part of the fleet has received a reduced rate limit: the total must stay within
// the larger one.
BOOST_FIXTURE_TEST_CASE(partially_applied_rate_limit_stays_below_the_larger, cluster_fixture)
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

// Guards against malformed payloads that crash the receiver or grant shares to it.
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

// Guards against an isolated node that takes the role from a coordinator that the other nodes still reach.
BOOST_FIXTURE_TEST_CASE(renewing_coordinator_is_not_replaced, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    offer(all_nodes(), "a", 160, std::chrono::seconds(60));
    const std::size_t coordinator = cluster.coordinator_of("curepipe");
    const auto nodes = cluster.nodes_in("curepipe");
    const std::size_t isolated_node = nodes.front() == coordinator ? nodes.back() : nodes.front();
    cluster.network().set_group(cluster.name(isolated_node), 1);
    offer(all_nodes(), "a", 160, std::chrono::minutes(3));
    BOOST_TEST(cluster.coordinator_of("curepipe") == coordinator);
}

// Guards against a dead coordinator that is never replaced, because it died before a node joined and membership does
// not report its death to that node.
BOOST_FIXTURE_TEST_CASE(coordinator_without_renewals_is_replaced, cluster_fixture)
{
    cluster.set_limits("a", {200, 100});
    offer(all_nodes(), "a", 160, std::chrono::seconds(60));
    cluster.kill(cluster.coordinator_of("curepipe"));
    cluster.advance(std::chrono::minutes(5));
    BOOST_TEST(cluster.coordinator_of("curepipe") < cluster.size());
}

// Guards against the share of a lost domain that stays locked after its lease has expired, or that is used before.
BOOST_FIXTURE_TEST_CASE(share_of_lost_domain_is_redistributed_after_its_lease, cluster_fixture)
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

// Guards against refusals in a domain whose small bucket is exhausted while another domain has tokens.
BOOST_FIXTURE_TEST_CASE(exhausted_domain_requests_tokens_from_another, cluster_fixture)
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
