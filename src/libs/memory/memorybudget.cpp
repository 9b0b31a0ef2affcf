#include "libs/memory/memorybudget.h"

#include <algorithm>
#include <utility>

namespace mulberry {

bool memory_budget::reserve(std::size_t additional, std::size_t total)
{
    const bool is_small = total <= small_message_bytes;
    const auto large_limit = static_cast<std::size_t>(static_cast<double>(m_limit) * large_message_share);
    const std::size_t limit = is_small ? m_limit : large_limit;
    while (m_in_use + additional > limit) {
        if (reclaim())
            continue;
        ++m_refused;
        return false;
    }
    m_in_use += additional;
    return true;
}

bool memory_budget::reclaim()
{
    const bool released = std::ranges::any_of(m_reclaimers, [](const auto& each) {
        const auto reclaimer = each.lock();
        return reclaimer && reclaimer->reclaim();
    });
    m_reclaimed += released ? 1 : 0;
    return released;
}

memory_reservation::memory_reservation(memory_reservation&& other) noexcept
    : m_budget(std::move(other.m_budget)), m_bytes(std::exchange(other.m_bytes, 0))
{
}

memory_reservation& memory_reservation::operator=(memory_reservation&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_budget = std::move(other.m_budget);
    m_bytes = std::exchange(other.m_bytes, 0);
    return *this;
}

bool memory_reservation::resize(std::size_t bytes)
{
    if (!m_budget)
        return true;
    if (bytes <= m_bytes) {
        m_budget->release(m_bytes - bytes);
        m_bytes = bytes;
        return true;
    }
    const std::size_t additional = bytes - m_bytes;
    if (!m_budget->reserve(additional, bytes))
        return false;
    // This reservation may have been reclaimed in between.
    m_bytes += additional;
    return true;
}

void memory_reservation::release()
{
    if (m_bytes > 0)
        m_budget->release(std::exchange(m_bytes, 0));
}

memory_reservation memory_reservation::split(std::size_t bytes)
{
    memory_reservation part(m_budget);
    part.m_bytes = std::min(bytes, m_bytes);
    m_bytes -= part.m_bytes;
    return part;
}

} // namespace mulberry
