#include "plugins/membership/gossipqueue.h"

#include <vector>

namespace mulberry::detail {

namespace {

/// Size of the field tag and the length before each encoded change in a message.
constexpr std::size_t field_overhead_bytes = 3;

} // namespace

void gossip_queue::add(const member_change& change)
{
    const std::string& name = change.record.id.name;
    const auto [it, inserted] = m_entries.try_emplace(name);
    entry& queued = it->second;
    if (!inserted)
        m_by_position.erase(position_of(queued));
    queued = {name, encode(change), 0, ++m_last_added};
    m_by_position.insert(position_of(queued));
}

std::size_t gossip_queue::append_changes(membership_messages::membership_message& message, std::size_t max_bytes,
                                         unsigned max_transmissions)
{
    std::vector<entry*> appended;
    std::size_t bytes = 0;
    for (const auto& [transmissions, addition_number, queued] : m_by_position) {
        const std::size_t size = queued->encoded_change.size() + field_overhead_bytes;
        if (bytes + size > max_bytes)
            break;
        bytes += size;
        message.add_changes(queued->encoded_change);
        appended.push_back(queued);
    }
    for (entry* queued : appended) {
        m_by_position.erase(position_of(*queued));
        if (++queued->transmissions >= max_transmissions) {
            m_entries.erase(m_entries.find(queued->name));
            continue;
        }
        m_by_position.insert(position_of(*queued));
    }
    return bytes;
}

void gossip_queue::clear()
{
    m_entries.clear();
    m_by_position.clear();
}

} // namespace mulberry::detail
