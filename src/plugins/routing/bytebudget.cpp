#include "plugins/routing/bytebudget.h"

#include <algorithm>

namespace mulberry::detail {

void byte_budget::set_rate(double bytes_per_second)
{
    m_level = level();
    m_updated = m_timers.now();
    if (m_rate == 0)
        m_level = bytes_per_second;
    m_rate = bytes_per_second;
}

void byte_budget::take(std::uint64_t bytes)
{
    m_level = level() - static_cast<double>(bytes);
    m_updated = m_timers.now();
}

double byte_budget::level() const
{
    return std::min(m_level + to_seconds(m_timers.now() - m_updated) * m_rate, m_rate);
}

} // namespace mulberry::detail
