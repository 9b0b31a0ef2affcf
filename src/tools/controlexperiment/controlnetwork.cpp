#include "controlnetwork.h"

namespace mulberry {

namespace {

// One-way latencies of deployment Tambour.
constexpr std::int64_t within_domain_us = 300;
constexpr std::int64_t between_domains_us = 1'500;
constexpr std::int64_t between_regions_us = 20'000;

} // namespace

control_network::~control_network() = default;

std::size_t control_network::add(const std::string& name, int domain, int region)
{
    m_nodes.push_back(std::make_unique<endpoint>(*this, name, domain, region));
    m_names[name] = m_nodes.back().get();
    return m_nodes.size() - 1;
}

control_link& control_network::link(std::size_t node)
{
    return *m_nodes[node];
}

void control_network::attach(std::size_t node, control_channel channel, control_handler* handler)
{
    m_nodes[node]->handlers[static_cast<std::size_t>(channel)] = handler;
}

duration control_network::latency(const endpoint& from, const endpoint& to)
{
    std::int64_t base = between_regions_us;
    if (from.region == to.region)
        base = from.domain == to.domain ? within_domain_us : between_domains_us;
    // Up to a fifth more for queues.
    return duration{base + static_cast<std::int64_t>(m_random.uniform(static_cast<std::uint64_t>(base) / 5))};
}

void control_network::send(endpoint& from, std::string_view to, control_channel channel, std::string payload)
{
    channel_traffic& sum = from.sums[static_cast<std::size_t>(channel)];
    sum.bytes += payload.size();
    ++sum.messages;
    const auto it = m_names.find(std::string(to));
    if (it == m_names.end() || m_random.unit() < m_loss)
        return;
    endpoint& receiver = *it->second;
    m_timers.schedule(latency(from, receiver), [this, &from, &receiver, channel, text = std::move(payload)] {
        deliver(from, receiver, channel, text);
    });
}

void control_network::deliver(endpoint& from, endpoint& to, control_channel channel, const std::string& payload)
{
    const bool cut = from.domain != to.domain && (from.domain == m_cut_domain || to.domain == m_cut_domain);
    const auto index = static_cast<std::size_t>(channel);
    if (cut || to.handlers[index] == nullptr)
        return;
    to.sums[index].bytes += payload.size();
    ++to.sums[index].messages;
    to.handlers[index]->on_message(from.name, payload);
}

} // namespace mulberry
