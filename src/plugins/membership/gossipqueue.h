#pragma once

#include "plugins/membership/memberchange.h"

#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace mulberry::detail {

/// Changes waiting to be piggybacked on messages. A newer change of a member replaces the older one.
class gossip_queue {
public:
    void add(const member_change& change);
    /// Appends the changes with the fewest transmissions to the message, up to max_bytes, and removes those that have
    /// reached max_transmissions. Returns the number of bytes added to the message.
    std::size_t append_changes(membership_messages::membership_message& message, std::size_t max_bytes,
                               unsigned max_transmissions);
    void clear();
    std::size_t size() const { return m_entries.size(); }

private:
    /// A change of one member, encoded, with the number of its transmissions and its place in the order of additions.
    struct entry {
        std::string name;
        std::string encoded_change;
        unsigned transmissions = 0;
        std::uint64_t addition_number = 0;
    };
    /// Sorts by fewest transmissions, then by latest addition. The addition number is unique, so the pointer never
    /// decides the order.
    using position = std::tuple<unsigned, std::uint64_t, entry*>;

    static position position_of(entry& queued) { return {queued.transmissions, ~queued.addition_number, &queued}; }

    std::unordered_map<std::string, entry> m_entries;
    std::set<position> m_by_position;
    std::uint64_t m_last_added = 0;
};

} // namespace mulberry::detail
