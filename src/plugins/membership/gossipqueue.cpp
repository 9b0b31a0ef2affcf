#include "plugins/membership/gossipqueue.h"

#include <vector>

namespace mulberry::detail {

namespace {

/// The tag and the length of a change in a message.
constexpr std::size_t field_overhead_bytes = 3;

} // namespace

void gossip_queue::add(const member_change& change)
{
    const std::string& name = change.record.id.name;
    const auto [it, inserted] = m_entries.try_emplace(name);
    entry& queued = it->second;
    if (!inserted)
        m_order.erase(position_of(queued));
    queued = {name, encode(change), 0, ++m_added};
    m_order.insert(position_of(queued));
}

std::size_t gossip_queue::take(membership_messages::membership_message& message, std::size_t max_bytes,
                               unsigned max_transmissions)
{
    std::vector<entry*> taken;
    std::size_t bytes = 0;
    for (const auto& [transmissions, added, queued] : m_order) {
        const std::size_t size = queued->encoded.size() + field_overhead_bytes;
        if (bytes + size > max_bytes)
            break;
        bytes += size;
        message.add_changes(queued->encoded);
        taken.push_back(queued);
    }
    for (entry* queued : taken) {
        m_order.erase(position_of(*queued));
        if (++queued->transmissions >= max_transmissions) {
            m_entries.erase(m_entries.find(queued->name));
            continue;
        }
        m_order.insert(position_of(*queued));
    }
    return bytes;
}

void gossip_queue::clear()
{
    m_entries.clear();
    m_order.clear();
}

} // namespace mulberry::detail
