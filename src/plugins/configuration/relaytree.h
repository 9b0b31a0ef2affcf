#pragma once

#include "plugins/membership/memberdirectory.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry::detail {

constexpr std::size_t watchers_per_domain = 2;
constexpr std::size_t relay_fanout = 8;

/// Arranges the members of each failure domain in a tree. Members are ordered by the hash of their names, with leaving
/// members last. The first two are the watchers. Each pair of consecutive members has up to sixteen children, and each
/// member of the pair is the preferred parent of eight of them.
class relay_tree {
public:
    relay_tree(std::string node, std::string domain) : m_node(std::move(node)), m_domain(std::move(domain)) {}

    /// Recomputes the tree.
    void rebuild(std::span<const member> members);
    /// Whether the change of this member may change its position in the tree.
    bool affected_by(const member& changed) const;

    bool is_watcher() const { return m_place < watchers_per_domain; }
    /// Position of this node in the order of its domain, starting at 0. It is `watchers_per_domain` if the node is not
    /// among the members.
    std::size_t place() const { return m_place; }
    const std::vector<std::string>& parents() const { return m_parents; }
    const std::vector<std::string>& children() const { return m_children; }
    /// The names of the watchers by failure domain, at most two for each.
    const std::map<std::string, std::vector<std::string>, std::less<>>& watchers() const { return m_watchers; }
    std::vector<std::string> watchers_of(std::string_view domain) const;

private:
    void find_parents_and_children(const std::vector<std::pair<std::uint64_t, const member*>>& order);

    std::string m_node;
    std::string m_domain;
    std::size_t m_place = watchers_per_domain;
    std::vector<std::string> m_parents;
    std::vector<std::string> m_children;
    std::map<std::string, std::vector<std::string>, std::less<>> m_watchers;
    /// Ranks of all members of all domains, sorted.
    std::vector<std::uint64_t> m_ranks;
};

} // namespace mulberry::detail
