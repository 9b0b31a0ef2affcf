#include "plugins/quota/quotapocket.h"

#include <algorithm>
#include <cmath>

namespace mulberry::detail {

namespace {

// Time constant of the estimate of the demand.
constexpr double demand_memory_s = 1;

} // namespace

double quota_pocket::demand(time_point now) const
{
    return m_demand * std::exp(-to_seconds(now - m_demand_updated) / demand_memory_s);
}

void quota_pocket::note_demand(time_point now)
{
    m_demand = demand(now) + 1 / demand_memory_s;
    m_demand_updated = now;
}

bool quota_pocket::take(time_point now)
{
    if (m_tokens > 0 && now - m_tokens_since > m_settings.token_lifetime)
        m_tokens = 0;
    if (m_tokens == 0)
        return false;
    --m_tokens;
    return true;
}

void quota_pocket::start_share(time_point now, std::size_t nodes)
{
    m_share = m_settings.fallback_start / static_cast<double>(std::max<std::size_t>(nodes, 1));
    m_share_updated = now;
}

bool quota_pocket::take_share(time_point now, std::size_t nodes)
{
    const auto count = static_cast<double>(std::max<std::size_t>(nodes, 1));
    const double most = std::max(m_limit.burst / count, 1.0);
    m_share = std::min(m_share + to_seconds(now - m_share_updated) * m_limit.rate / count, most);
    m_share_updated = now;
    if (m_share < 1)
        return false;
    m_share -= 1;
    return true;
}

void quota_pocket::add(time_point now, std::uint32_t tokens)
{
    if (now - m_tokens_since > m_settings.token_lifetime)
        m_tokens = 0;
    m_tokens += tokens;
    m_tokens_since = now;
}

std::uint32_t quota_pocket::wanted(time_point now) const
{
    const double ahead = demand(now) * to_seconds(m_settings.prefetch);
    const auto target = static_cast<std::uint32_t>(std::ceil(std::min(ahead, m_limit.rate))) +
                        static_cast<std::uint32_t>(waiters.size());
    return target > m_tokens ? target - m_tokens : 0;
}

} // namespace mulberry::detail
