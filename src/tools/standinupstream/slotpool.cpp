#include "tools/standinupstream/slotpool.h"

#include <algorithm>

namespace mulberry {

bool slot_pool::acquire(bool wait)
{
    std::unique_lock lock(m_mutex);
    const bool free = m_busy < m_slots && m_admitted_tickets == m_next_ticket;
    if (!free && !wait)
        return false;
    const std::uint64_t ticket = m_next_ticket++;
    m_slot_available.wait(lock, [&] { return m_admitted_tickets == ticket && m_busy < m_slots; });
    ++m_admitted_tickets;
    ++m_busy;
    m_peak_busy = std::max(m_peak_busy, m_busy);
    m_slot_available.notify_all();
    return true;
}

void slot_pool::release()
{
    const std::lock_guard lock(m_mutex);
    --m_busy;
    m_slot_available.notify_all();
}

std::uint32_t slot_pool::busy() const
{
    const std::lock_guard lock(m_mutex);
    return m_busy;
}

std::uint64_t slot_pool::waiting() const
{
    const std::lock_guard lock(m_mutex);
    return m_next_ticket - m_admitted_tickets;
}

std::uint32_t slot_pool::peak_busy() const
{
    const std::lock_guard lock(m_mutex);
    return m_peak_busy;
}

} // namespace mulberry
