#pragma once

#include "plugins/membership/memberchange.h"

#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace mulberry::detail {

/// Changes that are still piggybacked on messages. A newer change of a member replaces the older one.
class gossip_queue {
public:
    void add(const member_change& change);
    /// Appends changes that were sent least often, up to the number of bytes; drops those sent often enough. Returns
    /// the bytes that were added.
    std::size_t take(membership_messages::membership_message& message, std::size_t max_bytes,
                     unsigned max_transmissions);
    void clear();
    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        std::string name;
        std::string encoded;
        unsigned transmissions = 0;
        std::uint64_t added = 0;
    };
    /// Fewest transmissions first, then the newest. The second number is unique, so addresses decide nothing.
    using position = std::tuple<unsigned, std::uint64_t, entry*>;

    static position position_of(entry& queued) { return {queued.transmissions, ~queued.added, &queued}; }

    std::unordered_map<std::string, entry> m_entries;
    std::set<position> m_order;
    std::uint64_t m_added = 0;
};

} // namespace mulberry::detail
