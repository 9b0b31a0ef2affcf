#include "plugins/routing/bytebudget.h"

#include <algorithm>

namespace mulberry::detail {

void byte_budget::set_rate(double bytes_per_second)
{
    m_available_bytes = available_bytes();
    m_updated_at = m_timers.now();
    if (m_bytes_per_second == 0)
        m_available_bytes = bytes_per_second;
    m_bytes_per_second = bytes_per_second;
}

void byte_budget::consume(std::uint64_t bytes)
{
    m_available_bytes = available_bytes() - static_cast<double>(bytes);
    m_updated_at = m_timers.now();
}

double byte_budget::available_bytes() const
{
    return std::min(m_available_bytes + to_seconds(m_timers.now() - m_updated_at) * m_bytes_per_second,
                    m_bytes_per_second);
}

} // namespace mulberry::detail
