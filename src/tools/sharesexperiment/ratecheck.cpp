#include "tools/sharesexperiment/ratecheck.h"

#include <algorithm>

namespace mulberry::shares {

void rate_check::advance(time_point now)
{
    const std::int64_t elapsed = std::min((now - m_updated).count(), std::int64_t{1'000'000'000'000});
    m_updated = now;
    m_level = std::min(m_level + m_rate * elapsed, m_burst * unit);
}

void rate_check::set_limits(std::int64_t rate, std::int64_t burst, time_point now)
{
    advance(now);
    m_rate = rate;
    m_burst = burst;
    m_level = std::min(m_level, m_burst * unit);
}

bool rate_check::admit(time_point now)
{
    advance(now);
    m_level -= unit;
    return m_level >= 0;
}

bool rate_check::offer(time_point now)
{
    advance(now);
    if (m_level < unit)
        return false;
    m_level -= unit;
    return true;
}

} // namespace mulberry::shares
