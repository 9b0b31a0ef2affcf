#include "tools/sharesexperiment/sharecluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace mulberry::shares {

namespace {

constexpr std::int64_t full_speed = 1'000'000;
/// Node clocks start at a random time within a day.
constexpr std::uint64_t clock_spread_us = 86'400'000'000;

} // namespace

/// Delivers messages on the node's own event loop.
class share_cluster::message_receiver final : public control_handler {
public:
    message_receiver(share_cluster& cluster, std::size_t node) : m_cluster(cluster), m_node(node) {}

    void on_message(std::string_view from, std::string_view payload) override
    {
        std::string content(payload);
        if (m_cluster.m_message_filter)
            content = m_cluster.m_message_filter(std::move(content));
        m_cluster.m_nodes[m_node].clock->schedule(m_cluster.latency_between(std::string(from), m_node),
                                                  [this, sender = std::string(from), content = std::move(content)] {
                                                      if (m_cluster.is_running(m_node))
                                                          m_cluster.service(m_node).on_message(sender, content);
                                                  });
    }

private:
    share_cluster& m_cluster;
    std::size_t m_node;
};

share_cluster::share_cluster(const cluster_settings& settings)
    : m_settings(settings), m_random(settings.seed), m_network(m_timers, m_random), m_backing(m_timers)
{
    m_settings.shares.failure_domains = [domains = settings.domains] { return domains; };
    for (std::size_t i = 0; i < settings.nodes; ++i) {
        sim_node node;
        node.domain = settings.domains[i % settings.domains.size()];
        node.name = fmt::format("{}-{}", node.domain, i / settings.domains.size());
        node.faults.latency = settings.store_latency;
        node.handler = std::make_unique<message_receiver>(*this, i);
        m_nodes.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        start(i);
}

share_cluster::~share_cluster() = default;

duration share_cluster::latency_between(const std::string& from, std::size_t to) const
{
    const auto& domains = m_settings.domains;
    const std::string& receiver = m_nodes[to].domain;
    const auto position = [&domains](std::string_view domain_name) {
        return std::ranges::find(domains, domain_name) - domains.begin();
    };
    const std::string_view sender = std::string_view(from).substr(0, from.rfind('-'));
    if (sender == receiver)
        return duration{0};
    const auto half = static_cast<std::ptrdiff_t>(domains.size() / 2);
    const bool same_region = (position(sender) < half) == (position(receiver) < half);
    return same_region ? m_settings.domain_latency : m_settings.region_latency;
}

void share_cluster::start(std::size_t index)
{
    sim_node& node = m_nodes[index];
    if (node.service)
        return;
    const auto offset = duration{static_cast<std::int64_t>(m_random.uniform(clock_spread_us))};
    const auto random_drift =
        static_cast<std::int64_t>(m_random.uniform(static_cast<std::uint64_t>(m_settings.max_drift_ppm) + 1));
    const std::int64_t drift = !m_settings.two_speeds                        ? random_drift
                               : random_drift < m_settings.max_drift_ppm / 2 ? 0
                                                                             : m_settings.max_drift_ppm;
    m_clocks.push_back(std::make_unique<node_clock>(m_timers, offset, full_speed - drift));
    node.clock = m_clocks.back().get();
    m_stores.push_back(std::make_unique<node_store>(m_backing, m_timers, m_random, *node.clock));
    node.store = m_stores.back().get();
    node.store->set_faults(node.faults);
    node.store->set_late_writes(node.late_chance, node.late_delay);
    share_settings settings = m_settings.shares;
    settings.node = {node.name, ++node.incarnation};
    settings.failure_domain = node.domain;
    node.service =
        std::make_unique<share_service>(settings, *node.clock, m_random, m_network.link(node.name), *node.store);
    for (const auto& [name, state] : m_organisations)
        set_limits_at(index, name, state.limits);
    m_network.attach(node.name, control_channel::shares, node.handler.get());
}

void share_cluster::kill(std::size_t index)
{
    sim_node& node = m_nodes[index];
    if (!node.service)
        return;
    m_network.attach(node.name, control_channel::shares, nullptr);
    node.service.reset();
    node.clock->stop();
}

void share_cluster::drain(std::size_t index, std::function<void()> done)
{
    if (!is_running(index))
        return;
    const std::uint64_t incarnation = m_nodes[index].incarnation;
    service(index).drain([this, index, incarnation, done = std::move(done)] {
        // The service cannot be destroyed within its own callback.
        m_timers.schedule(duration{0}, [this, index, incarnation, done] {
            if (m_nodes[index].incarnation == incarnation)
                kill(index);
            if (done)
                done();
        });
    });
}

void share_cluster::pause(std::size_t index)
{
    if (is_running(index))
        m_nodes[index].clock->pause();
}

void share_cluster::resume(std::size_t index)
{
    if (is_running(index))
        m_nodes[index].clock->resume();
}

void share_cluster::set_store_faults(std::size_t index, const store_faults& faults)
{
    m_nodes[index].faults = faults;
    m_nodes[index].store->set_faults(faults);
}

void share_cluster::set_late_writes(std::size_t index, double chance, duration delay)
{
    m_nodes[index].late_chance = chance;
    m_nodes[index].late_delay = delay;
    m_nodes[index].store->set_late_writes(chance, delay);
}

void share_cluster::report_dead(std::size_t index)
{
    for (sim_node& node : m_nodes) {
        if (!node.service || node.name == m_nodes[index].name)
            continue;
        node.clock->schedule(duration{0}, [&node, name = m_nodes[index].name] {
            if (node.service)
                node.service->on_member_dead(name);
        });
    }
}

void share_cluster::set_limits(const std::string& organisation, cluster_organisation limits)
{
    const auto [entry, added] = m_organisations.try_emplace(organisation);
    entry->second.limits = limits;
    if (added)
        entry->second.check = rate_check(limits.rate, limits.burst);
    entry->second.check.set_limits(limits.rate, limits.burst, now());
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        set_limits_at(i, organisation, limits);
}

void share_cluster::set_limits_at(std::size_t node, const std::string& organisation, cluster_organisation limits)
{
    if (is_running(node))
        service(node).set_limits(organisation, static_cast<double>(limits.rate), limits.burst);
}

void share_cluster::request(std::size_t index, const std::string& organisation, std::function<void(bool)> done)
{
    if (!is_running(index) || m_nodes[index].clock->is_paused())
        return;
    service(index).admit(organisation,
                         [this, organisation, done = std::move(done)](const std::optional<refusal>& refused) {
                             count(organisation, !refused);
                             if (done)
                                 done(!refused);
                         });
}

void share_cluster::count(const std::string& organisation, bool admitted)
{
    admission_counts& entry = m_organisations[organisation];
    if (!admitted) {
        ++entry.refused;
        return;
    }
    ++entry.admitted;
    if (!entry.check.admit(now()) && on_excess)
        on_excess(organisation);
}

std::vector<std::size_t> share_cluster::nodes_in(const std::string& domain) const
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].domain == domain)
            result.push_back(i);
    }
    return result;
}

std::size_t share_cluster::coordinator_of(const std::string& domain) const
{
    for (const std::size_t i : nodes_in(domain)) {
        if (is_running(i) && m_nodes[i].service->status().groups.front().is_coordinator)
            return i;
    }
    return m_nodes.size();
}

double share_cluster::held_fraction(const std::string& organisation) const
{
    const auto found = m_organisations.find(organisation);
    if (found == m_organisations.end())
        return 0;
    double rate = 0;
    double capacity = 0;
    for (const sim_node& node : m_nodes) {
        if (!node.service)
            continue;
        const share_status status = node.service->status();
        for (const organisation_status& entry : status.organisations) {
            if (entry.organisation != organisation)
                continue;
            rate += entry.held_rate / static_cast<double>(found->second.limits.rate);
            capacity += entry.held_capacity / static_cast<double>(found->second.limits.burst);
        }
        for (const group_status& group : status.groups) {
            for (const domain_share_status& entry : group.domain_shares) {
                if (entry.organisation != organisation)
                    continue;
                rate += entry.free_rate;
                capacity += entry.free_capacity;
            }
        }
    }
    return std::max(rate, capacity);
}

std::uint64_t share_cluster::store_calls() const
{
    std::uint64_t sum = 0;
    for (const auto& store : m_stores)
        sum += store->calls();
    return sum;
}

std::uint64_t share_cluster::admitted(const std::string& organisation) const
{
    const auto found = m_organisations.find(organisation);
    return found == m_organisations.end() ? 0 : found->second.admitted;
}

std::uint64_t share_cluster::refused(const std::string& organisation) const
{
    const auto found = m_organisations.find(organisation);
    return found == m_organisations.end() ? 0 : found->second.refused;
}

} // namespace mulberry::shares
