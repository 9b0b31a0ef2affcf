#include "plugins/guard/attemptfilter.h"

namespace mulberry {

bool detail::sequence_window::accept(std::uint64_t sequence)
{
    const std::uint64_t size = m_seen.size();
    if (sequence == 0 || sequence + size <= m_highest)
        return false;
    if (sequence > m_highest) {
        const std::uint64_t first_unseen = sequence - m_highest > size ? sequence - size + 1 : m_highest + 1;
        for (std::uint64_t number = first_unseen; number <= sequence; ++number)
            m_seen[number % size] = false;
        m_highest = sequence;
    }
    if (m_seen[sequence % size])
        return false;
    m_seen[sequence % size] = true;
    return true;
}

bool attempt_filter::accept(const attempt_id& id)
{
    remove_idle_senders();
    sender_state& sender = m_senders[id.sender];
    sender.last_use = m_timers.now();
    return sender.window.accept(id.sequence);
}

void attempt_filter::remove_idle_senders()
{
    const time_point now = m_timers.now();
    if (now - m_last_sweep < sender_retention)
        return;
    m_last_sweep = now;
    std::erase_if(m_senders, [&](const auto& entry) { return now - entry.second.last_use > sender_retention; });
}

} // namespace mulberry
