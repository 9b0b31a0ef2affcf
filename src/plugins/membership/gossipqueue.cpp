#include "plugins/membership/gossipqueue.h"

#include <vector>

namespace mulberry::detail {

gossip_queue::position gossip_queue::position_of(const std::string& name, const entry& queued)
{
    return {queued.transmissions, ~queued.added, name};
}

void gossip_queue::add(const member_change& change)
{
    const std::string& name = change.record.id.name;
    const auto [it, inserted] = m_entries.try_emplace(name);
    entry& queued = it->second;
    if (!inserted)
        m_order.erase(position_of(name, queued));
    queued = {};
    encode(change, queued.encoded);
    // The field's tag and length take up to three bytes.
    queued.bytes = queued.encoded.ByteSizeLong() + 3;
    queued.added = ++m_added;
    m_order.insert(position_of(name, queued));
}

std::size_t gossip_queue::take(membership_messages::membership_message& message, std::size_t max_bytes,
                               unsigned max_transmissions)
{
    std::vector<std::string> taken;
    std::size_t bytes = 0;
    for (const position& next : m_order) {
        const entry& queued = m_entries.at(next.name);
        if (bytes + queued.bytes > max_bytes)
            break;
        bytes += queued.bytes;
        *message.add_changes() = queued.encoded;
        taken.push_back(next.name);
    }
    for (const std::string& name : taken) {
        const auto it = m_entries.find(name);
        m_order.erase(position_of(name, it->second));
        if (++it->second.transmissions >= max_transmissions) {
            m_entries.erase(it);
            continue;
        }
        m_order.insert(position_of(name, it->second));
    }
    return bytes;
}

void gossip_queue::clear()
{
    m_entries.clear();
    m_order.clear();
}

} // namespace mulberry::detail
