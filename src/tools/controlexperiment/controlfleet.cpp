#include "controlfleet.h"

#include <algorithm>

#include <fmt/format.h>

namespace mulberry {

namespace {

/// Failure domains at present, with up to 100 nodes, and as expected in two years.
constexpr std::size_t current_domain_count = 4;
constexpr std::size_t planned_domain_count = 7;
constexpr std::size_t max_current_fleet_size = 100;
constexpr std::size_t seed_count = 3;
/// Instances of a service as expected in two years: 1,400 instances of 160 services.
constexpr std::size_t instances_per_service = 9;

std::string domain_name(std::size_t domain)
{
    return fmt::format("failure-domain-{}", domain);
}

} // namespace

std::string control_fleet::name_of(std::size_t node)
{
    return fmt::format("vm-{:05}", node);
}

control_fleet::control_fleet(std::size_t size, std::uint64_t seed)
    : m_random(seed), m_network(m_timers, m_random), m_backing_store(m_timers),
      m_domains(size <= max_current_fleet_size ? current_domain_count : planned_domain_count), m_nodes(size),
      m_incarnations(size, 1'700'000'000'000'000)
{
    for (std::size_t i = 0; i < size; ++i)
        m_network.add_node(name_of(i), static_cast<int>(domain_of(i)), domain_of(i) * 2 < m_domains ? 0 : 1);
    for (std::size_t i = 0; i < size; ++i)
        start(i);
    m_epoch_timer = std::make_unique<periodic_timer>(m_timers, std::chrono::minutes(1), [this] { advance_epochs(); });
}

void control_fleet::start(std::size_t index)
{
    membership_settings members;
    members.self.id = {name_of(index), ++m_incarnations[index]};
    members.self.service = fmt::format("service-{:03}", index / instances_per_service);
    members.self.address = fmt::format("10.0.{}.{}:7443", index / 250, index % 250);
    members.self.location = {domain_name(domain_of(index)), domain_of(index) * 2 < m_domains ? "west" : "east"};
    for (std::size_t i = 0; i < std::min(seed_count, size()); ++i)
        members.seeds.push_back({name_of(i), fmt::format("10.0.0.{}:7443", i)});
    config_relay_settings relay;
    relay.node = name_of(index);
    relay.domain = domain_name(domain_of(index));
    for (std::size_t i = 0; i < m_domains; ++i)
        relay.domains.push_back(domain_name(i));
    m_nodes[index] = std::make_unique<control_node>(std::move(members), std::move(relay), m_timers, m_random,
                                                    m_network.link(index), m_backing_store);
    m_network.attach_handler(index, control_channel::membership, &m_nodes[index]->members);
    m_network.attach_handler(index, control_channel::configuration, &m_nodes[index]->relay);
    m_nodes[index]->members.set_own_state(member_state::serving);
}

void control_fleet::kill(std::size_t index)
{
    m_network.attach_handler(index, control_channel::membership, nullptr);
    m_network.attach_handler(index, control_channel::configuration, nullptr);
    m_calls_of_killed_nodes += m_nodes[index]->store.calls();
    m_nodes[index].reset();
}

void control_fleet::set_store_faults(const store_faults& faults, std::optional<std::size_t> domain)
{
    for (std::size_t i = 0; i < size(); ++i) {
        if (is_running(i) && (!domain || *domain == domain_of(i)))
            m_nodes[i]->store.set_faults(faults);
    }
}

std::uint64_t control_fleet::store_calls() const
{
    std::uint64_t calls = m_calls_of_killed_nodes;
    for (const auto& each : m_nodes)
        calls += each ? each->store.calls() : 0;
    return calls;
}

void control_fleet::advance_epochs()
{
    ++m_epoch;
    for (const auto& each : m_nodes) {
        if (each)
            each->members.set_own_epoch(m_epoch);
    }
}

std::size_t control_fleet::find_watcher(std::size_t domain)
{
    for (std::size_t i = domain; i < size(); i += m_domains) {
        if (is_running(i) && m_nodes[i]->relay.is_watcher())
            return i;
    }
    return domain;
}

std::optional<std::size_t> control_fleet::find_relay(std::size_t domain)
{
    for (std::size_t i = domain; i < size(); i += m_domains) {
        if (!is_running(i) || m_nodes[i]->relay.is_watcher())
            continue;
        const std::string parent = m_nodes[i]->relay.parents().at(0);
        for (std::size_t other = domain; other < size(); other += m_domains) {
            if (is_running(other) && name_of(other) == parent && !m_nodes[other]->relay.is_watcher())
                return other;
        }
    }
    // In a small domain, the other nodes pull from the watchers only.
    for (std::size_t i = domain; i < size(); i += m_domains) {
        if (is_running(i) && m_nodes[i]->relay.is_watcher())
            return i;
    }
    return std::nullopt;
}

std::int64_t control_fleet::write_document(std::size_t domain, const std::string& key, const std::string& content)
{
    control_node& writing_node = node(find_watcher(domain));
    const config_document* document = writing_node.view.find(key);
    std::optional<std::int64_t> revision;
    writing_node.writer.write({key, content, document == nullptr ? 0 : document->revision},
                              [&](auto result) { revision = result && result->accepted ? result->revision : 0; });
    advance_until([&] { return revision.has_value(); }, std::chrono::seconds(20));
    return revision.value_or(0);
}

bool control_fleet::all_members_known() const
{
    std::size_t running_nodes = 0;
    for (const auto& each : m_nodes)
        running_nodes += each ? 1 : 0;
    return std::ranges::all_of(m_nodes, [&](const auto& each) {
        if (!each)
            return true;
        const auto known = each->members.members();
        return known.size() == running_nodes &&
               std::ranges::none_of(known, [](const member& one) { return one.state == member_state::starting; });
    });
}

bool control_fleet::all_have_revision(const std::string& key, std::int64_t revision) const
{
    return std::ranges::all_of(m_nodes, [&](const auto& each) {
        if (!each)
            return true;
        const config_document* document = each->view.find(key);
        return document != nullptr && document->revision >= revision;
    });
}

bool control_fleet::is_withdrawn_everywhere(const std::string& key, std::int64_t revision) const
{
    return std::ranges::all_of(m_nodes, [&](const auto& each) {
        if (!each)
            return true;
        const config_document* document = each->view.find(key);
        return (document != nullptr && document->revision >= revision) || !each->relay.keyed_requests_allowed();
    });
}

bool control_fleet::is_known_in_state(std::size_t subject, member_state state) const
{
    return std::ranges::all_of(m_nodes, [&](const auto& each) {
        if (!each)
            return true;
        const member* known = each->members.find(name_of(subject));
        return known == nullptr ? state == member_state::dead : known->state >= state;
    });
}

} // namespace mulberry
