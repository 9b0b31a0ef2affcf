#include "plugins/configuration/relaytree.h"

#include <algorithm>

#include <xxhash.h>

namespace mulberry::detail {

namespace {

/// Leaving members have the upper half of the ranks, so they become watchers only if their domain has too few other
/// members. If they were excluded, a domain whose last member leaves would look like a domain that is cut off.
constexpr std::uint64_t leaving_bit = std::uint64_t{1} << 63;

std::uint64_t serving_rank(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size()) & ~leaving_bit;
}

std::uint64_t rank_of(const member& record)
{
    return serving_rank(record.id.name) | (record.state == member_state::leaving ? leaving_bit : 0);
}

} // namespace

bool relay_tree::affected_by(const member& changed) const
{
    const auto contains_rank = [this](std::uint64_t rank) {
        return std::binary_search(m_ranks.begin(), m_ranks.end(), rank);
    };
    if (changed.state != member_state::dead)
        return !contains_rank(rank_of(changed));
    const std::uint64_t rank = serving_rank(changed.id.name);
    return contains_rank(rank) || contains_rank(rank | leaving_bit);
}

void relay_tree::rebuild(std::span<const member> members)
{
    using ranked = std::pair<std::uint64_t, const member*>;
    std::map<std::string_view, std::vector<ranked>> domains;
    m_ranks.clear();
    for (const member& record : members) {
        const std::uint64_t rank = rank_of(record);
        m_ranks.push_back(rank);
        domains[record.location.failure_domain].emplace_back(rank, &record);
    }
    std::sort(m_ranks.begin(), m_ranks.end());
    m_watchers.clear();
    m_place = watchers_per_domain;
    m_parents.clear();
    m_children.clear();
    for (auto& [domain, order] : domains) {
        std::sort(order.begin(), order.end());
        auto& names = m_watchers[std::string(domain)];
        for (std::size_t i = 0; i < std::min(order.size(), watchers_per_domain); ++i)
            names.push_back(order[i].second->id.name);
        if (domain == m_domain)
            find_parents_and_children(order);
    }
}

void relay_tree::find_parents_and_children(const std::vector<std::pair<std::uint64_t, const member*>>& order)
{
    constexpr std::size_t children_of_pair = 2 * relay_fanout;
    const auto own_position =
        std::find_if(order.begin(), order.end(), [this](const auto& each) { return each.second->id.name == m_node; });
    if (own_position == order.end())
        return;
    m_place = static_cast<std::size_t>(own_position - order.begin());
    if (m_place >= watchers_per_domain) {
        const std::size_t parent_pair = (m_place - watchers_per_domain) / children_of_pair;
        const std::size_t preferred = 2 * parent_pair + m_place % 2;
        m_parents = {order[preferred].second->id.name, order[preferred ^ 1U].second->id.name};
    }
    const std::size_t begin = watchers_per_domain + m_place / 2 * children_of_pair;
    for (std::size_t i = begin; i < std::min(begin + children_of_pair, order.size()); ++i)
        m_children.push_back(order[i].second->id.name);
}

std::vector<std::string> relay_tree::watchers_of(std::string_view domain) const
{
    const auto it = m_watchers.find(domain);
    return it == m_watchers.end() ? std::vector<std::string>{} : it->second;
}

} // namespace mulberry::detail
