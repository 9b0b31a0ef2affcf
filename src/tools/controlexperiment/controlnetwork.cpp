#include "controlnetwork.h"

namespace mulberry {

namespace {

// One-way latencies of the deployment Tambour.
constexpr std::int64_t within_domain_us = 300;
constexpr std::int64_t between_domains_us = 1'500;
constexpr std::int64_t between_regions_us = 20'000;

} // namespace

control_network::~control_network() = default;

std::size_t control_network::add_node(const std::string& name, int domain, int region)
{
    m_nodes.push_back(std::make_unique<endpoint>(*this, name, domain, region));
    m_nodes_by_name[name] = m_nodes.back().get();
    return m_nodes.size() - 1;
}

control_link& control_network::link(std::size_t node)
{
    return *m_nodes[node];
}

void control_network::attach_handler(std::size_t node, control_channel channel, control_handler* handler)
{
    m_nodes[node]->handlers[static_cast<std::size_t>(channel)] = handler;
}

duration control_network::latency(const endpoint& from, const endpoint& to)
{
    std::int64_t base_us = between_regions_us;
    if (from.region == to.region)
        base_us = from.domain == to.domain ? within_domain_us : between_domains_us;
    // Queueing on the way adds up to a fifth.
    return duration{base_us + static_cast<std::int64_t>(m_random.uniform(static_cast<std::uint64_t>(base_us) / 5))};
}

void control_network::send(endpoint& from, std::string_view to, control_channel channel, std::string payload)
{
    channel_traffic& total = from.totals[static_cast<std::size_t>(channel)];
    total.bytes += payload.size();
    ++total.messages;
    const auto it = m_nodes_by_name.find(std::string(to));
    if (it == m_nodes_by_name.end() || m_random.uniform_real() < m_loss_probability)
        return;
    endpoint& receiver = *it->second;
    m_timers.schedule(latency(from, receiver), [this, &from, &receiver, channel, text = std::move(payload)] {
        deliver(from, receiver, channel, text);
    });
}

void control_network::deliver(endpoint& from, endpoint& to, control_channel channel, const std::string& payload)
{
    const bool is_isolated =
        from.domain != to.domain && (from.domain == m_isolated_domain || to.domain == m_isolated_domain);
    const auto index = static_cast<std::size_t>(channel);
    if (is_isolated || to.handlers[index] == nullptr)
        return;
    to.totals[index].bytes += payload.size();
    ++to.totals[index].messages;
    to.handlers[index]->on_message(from.name, payload);
}

} // namespace mulberry
