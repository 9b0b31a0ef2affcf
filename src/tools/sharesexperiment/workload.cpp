#include "tools/sharesexperiment/workload.h"

#include "plugins/shares/tokenbucket.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <utility>

namespace mulberry::shares {

namespace {

constexpr duration warm_up = std::chrono::minutes(3);
/// Covers the start and the first renewals. It is shorter than warm_up, because 1,400 nodes take minutes of processor
/// time.
constexpr duration cost_warm_up = std::chrono::seconds(60);
constexpr duration fault_length = std::chrono::minutes(10);
/// Refusals during this time after a fault are counted as well.
constexpr duration recovery_period = std::chrono::minutes(2);
/// An organisation above its rate sends this many times its rate.
constexpr double over_rate_factor = 5;
constexpr std::size_t over_rate_index = 1;
/// Ratio between the loads of an organisation in successive domains, starting with its busiest domain.
constexpr double skew_factor = 0.4;
/// Fraction of a domain's load that its busiest node receives directly; the rest is spread over all its nodes.
constexpr double busiest_node_fraction = 0.5;

/// Draws the node that receives a request.
class node_chooser {
public:
    node_chooser(const share_cluster& cluster, const std::vector<std::string>& domains, bool skewed,
                 std::size_t organisation)
        : m_nodes(cluster.size())
    {
        if (!skewed)
            return;
        double weight = 1;
        double sum = 0;
        for (std::size_t i = 0; i < domains.size(); ++i) {
            m_domains.push_back(cluster.nodes_in(domains[(i + organisation) % domains.size()]));
            m_weights.push_back(weight);
            sum += weight;
            weight *= skew_factor;
        }
        for (double& entry : m_weights)
            entry /= sum;
    }

    std::size_t draw(random_source& random) const
    {
        if (m_domains.empty())
            return random.uniform(m_nodes);
        double at = random.uniform_real();
        std::size_t domain = 0;
        while (domain + 1 < m_weights.size() && at >= m_weights[domain])
            at -= m_weights[domain++];
        const std::vector<std::size_t>& nodes = m_domains[domain];
        return random.uniform_real() < busiest_node_fraction ? nodes.front() : nodes[random.uniform(nodes.size())];
    }

private:
    std::size_t m_nodes;
    std::vector<std::vector<std::size_t>> m_domains;
    std::vector<double> m_weights;
};

/// The baseline for comparison: each node has a fixed, equal share of the rate limit.
class static_split {
public:
    static_split(std::size_t nodes, cluster_organisation limits)
    {
        const rate_limit all{limits.rate * one_token, limits.burst * one_token};
        const auto part = full_share / static_cast<share_units>(nodes);
        for (std::size_t i = 0; i < nodes; ++i) {
            m_buckets.emplace_back(all, time_point{});
            m_buckets.back().merge({part, part, 0});
        }
    }

    bool admit(std::size_t node, time_point now)
    {
        m_buckets[node].advance(now);
        return m_buckets[node].take(one_token);
    }

private:
    std::vector<token_bucket> m_buckets;
};

struct offered_organisation {
    std::string name;
    cluster_organisation limits;
    double rate = 0;
    bool over_rate = false;
    node_chooser chooser;
    static_split split;
    rate_check oracle;
    std::uint64_t admissible = 0;
    std::uint64_t refused_by_shares = 0;
    std::uint64_t refused_by_split = 0;
    std::uint64_t admitted = 0;
};

cluster_settings settings_for(const deployment& site, std::uint64_t seed)
{
    cluster_settings result;
    result.domains = site.domains;
    result.nodes = site.nodes;
    result.seed = seed;
    return result;
}

void schedule_requests(share_cluster& cluster, double rate, std::function<void()> send_request)
{
    const duration gap = from_seconds(-std::log(1 - cluster.random().uniform_real()) / rate);
    cluster.timers().schedule(gap, [&cluster, rate, send_request = std::move(send_request)] {
        schedule_requests(cluster, rate, send_request);
        send_request();
    });
}

class refusal_experiment {
public:
    explicit refusal_experiment(const refusal_run& run) : m_run(run), m_cluster(settings_for(run.site, run.seed))
    {
        m_cluster.network().set_faults({.latency = std::chrono::microseconds(500)});
        // The second half of the domains is in the region without the store.
        for (std::size_t i = 0; i < m_cluster.size(); ++i)
            m_cluster.set_store_faults(i, {.latency = store_latency(i)});
        m_cluster.on_excess = [this](const std::string&) { ++m_result.excess; };
        const auto& organisations = run.site.organisations;
        m_offered.reserve(organisations.size());
        for (std::size_t i = 0; i < organisations.size(); ++i)
            add_organisation(i, organisations[i]);
    }

    refusal_counts run()
    {
        for (offered_organisation& entry : m_offered)
            schedule_requests(m_cluster, entry.rate, [this, &entry] { offer(entry); });
        m_cluster.advance(warm_up);
        m_counting = true;
        start_fault();
        m_cluster.advance(fault_length);
        end_fault();
        m_cluster.advance(recovery_period);
        return summary();
    }

private:
    duration store_latency(std::size_t node) const
    {
        const auto& domains = m_run.site.domains;
        const auto index = std::ranges::find(domains, m_cluster.domain(node)) - domains.begin();
        return static_cast<std::size_t>(index) < domains.size() / 2 ? std::chrono::milliseconds(2)
                                                                    : std::chrono::milliseconds(21);
    }

    void add_organisation(std::size_t index, cluster_organisation limits)
    {
        const bool over_rate = m_run.shape == demand_shape::one_over_rate && index == over_rate_index;
        const double rate = static_cast<double>(limits.rate) * (over_rate ? over_rate_factor : m_run.load);
        const bool skewed = m_run.shape == demand_shape::skewed;
        m_offered.push_back({fmt::format("organisation{}", index), limits, rate, over_rate,
                             node_chooser(m_cluster, m_run.site.domains, skewed, index),
                             static_split(m_cluster.size(), limits), rate_check(limits.rate, limits.burst)});
        m_cluster.set_limits(m_offered.back().name, limits);
    }

    void offer(offered_organisation& entry)
    {
        const std::size_t node = entry.chooser.draw(m_cluster.random());
        const bool admissible = entry.oracle.offer(m_cluster.now());
        const bool split = entry.split.admit(node, m_cluster.now());
        const bool counted = m_counting;
        if (counted && admissible) {
            ++entry.admissible;
            entry.refused_by_split += split ? 0 : 1;
        }
        m_cluster.request(node, entry.name, [&entry, admissible, counted](bool admitted) {
            if (!counted)
                return;
            entry.admitted += admitted ? 1 : 0;
            entry.refused_by_shares += admissible && !admitted ? 1 : 0;
        });
    }

    void start_fault()
    {
        for (std::size_t i = 0; i < m_cluster.size(); ++i) {
            const bool is_isolated =
                m_run.scenario == fault_scenario::domain_isolated && m_cluster.domain(i) == m_run.site.domains[1];
            if (is_isolated)
                m_cluster.network().set_group(m_cluster.name(i), 1);
            if (is_isolated || m_run.scenario == fault_scenario::store_down)
                m_cluster.set_store_faults(i, {.latency = store_latency(i), .down = true});
        }
    }

    void end_fault()
    {
        for (std::size_t i = 0; i < m_cluster.size(); ++i) {
            m_cluster.network().set_group(m_cluster.name(i), 0);
            m_cluster.set_store_faults(i, {.latency = store_latency(i)});
        }
    }

    refusal_counts summary()
    {
        for (const offered_organisation& entry : m_offered) {
            const auto admissible = static_cast<double>(std::max(entry.admissible, std::uint64_t{1}));
            if (entry.over_rate) {
                m_result.over_rate_admitted = static_cast<double>(entry.admitted) / admissible;
                continue;
            }
            m_result.admissible += entry.admissible;
            m_result.refused_by_shares += entry.refused_by_shares;
            m_result.refused_by_split += entry.refused_by_split;
            m_result.worst_organisation =
                std::max(m_result.worst_organisation, static_cast<double>(entry.refused_by_shares) / admissible);
        }
        return m_result;
    }

    refusal_run m_run;
    share_cluster m_cluster;
    std::vector<offered_organisation> m_offered;
    refusal_counts m_result;
    bool m_counting = false;
};

} // namespace

std::string_view to_string(demand_shape shape)
{
    switch (shape) {
    case demand_shape::uniform:
        return "uniform";
    case demand_shape::skewed:
        return "skewed";
    case demand_shape::one_over_rate:
        return "one at 5x";
    }
    return "invalid";
}

std::string_view to_string(fault_scenario scenario)
{
    switch (scenario) {
    case fault_scenario::none:
        return "none";
    case fault_scenario::domain_isolated:
        return "domain cut off";
    case fault_scenario::store_down:
        return "store down";
    }
    return "invalid";
}

const std::vector<deployment>& deployments()
{
    static const std::vector<deployment> all{
        {"Tambour",
         {"curepipe", "floreal", "quay", "caudan"},
         16,
         {{500, 500}, {300, 300}, {200, 200}, {40, 40}, {30, 30}, {20, 20}, {10, 20}, {5, 20}}},
        {"Benali",
         {"casa-port", "casa-ainsebaa", "agadir-anza", "agadir-tassila"},
         18,
         {{400, 800}, {300, 600}, {100, 200}, {50, 100}, {30, 60}, {20, 40}, {10, 20}, {5, 10}}}};
    return all;
}

refusal_counts run_refusals(const refusal_run& run)
{
    return refusal_experiment(run).run();
}

cost_counts run_costs(const cost_run& run)
{
    cluster_settings settings;
    settings.nodes = run.nodes;
    settings.seed = run.seed;
    settings.shares.groups = run.groups;
    settings.domains.clear();
    for (std::size_t i = 0; i < run.domains; ++i)
        settings.domains.push_back(fmt::format("domain{}", i));
    share_cluster cluster(settings);
    cluster.network().set_faults({.latency = std::chrono::microseconds(500)});
    // Rates fall with the rank; each load is 80% of the rate.
    double ranks = 0;
    for (std::size_t i = 0; i < run.organisations; ++i)
        ranks += 1 / static_cast<double>(i + 1);
    for (std::size_t i = 0; i < run.organisations; ++i) {
        const double load = run.load * static_cast<double>(run.nodes) / ranks / static_cast<double>(i + 1);
        const auto rate = static_cast<std::int64_t>(load / 0.8) + 1;
        const std::string name = fmt::format("organisation{}", i);
        cluster.set_limits(name, {rate, rate + 20});
        schedule_requests(cluster, load,
                          [&cluster, name] { cluster.request(cluster.random().uniform(cluster.size()), name); });
    }
    cluster.advance(cost_warm_up);
    const auto sum_bytes = [&cluster] {
        std::vector<std::uint64_t> bytes;
        for (std::size_t i = 0; i < cluster.size(); ++i)
            bytes.push_back(cluster.control_bytes(i));
        return bytes;
    };
    const auto totals = [&cluster, &run] {
        std::pair<std::uint64_t, std::uint64_t> sum;
        for (std::size_t i = 0; i < run.organisations; ++i) {
            sum.first += cluster.admitted(fmt::format("organisation{}", i));
            sum.second += cluster.refused(fmt::format("organisation{}", i));
        }
        return sum;
    };
    const std::vector<std::uint64_t> bytes_before = sum_bytes();
    const auto totals_before = totals();
    const std::uint64_t calls_before = cluster.store_calls();
    const std::clock_t started = std::clock();
    cluster.advance(run.length);
    const double seconds = to_seconds(run.length);
    const auto nodes = static_cast<double>(run.nodes);
    cost_counts result;
    result.core_per_node = static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC / seconds / nodes;
    result.store_calls = static_cast<double>(cluster.store_calls() - calls_before) / seconds;
    const std::vector<std::uint64_t> bytes_after = sum_bytes();
    for (std::size_t i = 0; i < bytes_after.size(); ++i) {
        const double rate = static_cast<double>(bytes_after[i] - bytes_before[i]) / seconds;
        result.bytes_per_node += rate / nodes;
        result.bytes_of_busiest = std::max(result.bytes_of_busiest, rate);
    }
    const auto totals_after = totals();
    const auto refused = static_cast<double>(totals_after.second - totals_before.second);
    result.refused = refused / (refused + static_cast<double>(totals_after.first - totals_before.first));
    return result;
}

} // namespace mulberry::shares
