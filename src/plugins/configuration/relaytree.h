#pragma once

#include "plugins/membership/memberdirectory.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry::detail {

constexpr std::size_t watchers_per_domain = 2;
constexpr std::size_t relay_fanout = 8;

/// Places the members of each failure domain in a tree. Members are ordered by the hash of their names, leaving ones
/// last; the first two are the watchers, and each further pair has sixteen children, eight for each of the pair as
/// preferred parent.
class relay_tree {
public:
    relay_tree(std::string node, std::string domain) : m_node(std::move(node)), m_domain(std::move(domain)) {}

    /// Computes the tree anew.
    void rebuild(std::span<const member> members);
    /// Whether a changed member may have another place in the tree.
    bool affected_by(const member& changed) const;

    bool is_watcher() const { return m_place < watchers_per_domain; }
    /// Place of the own node in the order of its domain.
    std::size_t place() const { return m_place; }
    const std::vector<std::string>& parents() const { return m_parents; }
    const std::vector<std::string>& children() const { return m_children; }
    /// At most two names for each domain.
    const std::map<std::string, std::vector<std::string>, std::less<>>& watchers() const { return m_watchers; }
    std::vector<std::string> watchers_of(std::string_view domain) const;

private:
    void find_relatives(const std::vector<std::pair<std::uint64_t, const member*>>& order);

    std::string m_node;
    std::string m_domain;
    std::size_t m_place = watchers_per_domain;
    std::vector<std::string> m_parents;
    std::vector<std::string> m_children;
    std::map<std::string, std::vector<std::string>, std::less<>> m_watchers;
    /// Ranks of all members in the tree, in order.
    std::vector<std::uint64_t> m_ranks;
};

} // namespace mulberry::detail
