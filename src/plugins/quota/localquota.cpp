#include "plugins/quota/localquota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberry::detail {

namespace {

// Time constant of the exponential average that estimates the demand, in seconds.
constexpr double demand_time_constant_s = 1;

} // namespace

double local_quota::demand(time_point now) const
{
    return m_demand_per_s * std::exp(-to_seconds(now - m_demand_updated_at) / demand_time_constant_s);
}

void local_quota::record_demand(time_point now)
{
    m_demand_per_s = demand(now) + 1 / demand_time_constant_s;
    m_demand_updated_at = now;
}

bool local_quota::take_token(time_point now)
{
    if (m_tokens > 0 && now - m_tokens_granted_at > m_settings.token_lifetime)
        m_tokens = 0;
    if (m_tokens == 0)
        return false;
    --m_tokens;
    return true;
}

bool local_quota::take_even_share(time_point now, std::size_t nodes, bool borrowed)
{
    const auto node_count = static_cast<double>(std::max<std::size_t>(nodes, 1));
    if (!m_uses_even_share) {
        m_uses_even_share = true;
        m_even_share_updated_at = now;
        // Borrowed tokens are a part of the initial level that is still in use.
        if (m_borrowed_tokens == 0)
            m_even_share_tokens = m_settings.initial_even_share_tokens / node_count;
    }
    const double max_tokens = std::max(m_limit.burst / node_count, 1.0);
    const double earned = to_seconds(now - m_even_share_updated_at) * m_limit.rate / node_count;
    m_even_share_tokens = std::min(m_even_share_tokens + earned, max_tokens);
    m_even_share_updated_at = now;
    if (m_even_share_tokens < 1)
        return false;
    m_even_share_tokens -= 1;
    if (borrowed)
        ++m_borrowed_tokens;
    return true;
}

void local_quota::add_tokens(time_point now, std::uint32_t tokens)
{
    if (now - m_tokens_granted_at > m_settings.token_lifetime)
        m_tokens = 0;
    const std::uint32_t paid_back = std::min(tokens, m_borrowed_tokens);
    m_borrowed_tokens -= paid_back;
    if (tokens == paid_back)
        return;
    m_tokens += tokens - paid_back;
    m_tokens_granted_at = now;
}

void local_quota::set_level(time_point now, std::string coordinator, std::uint32_t level)
{
    m_level = level;
    m_level_source = std::move(coordinator);
    m_level_received_at = now;
}

std::optional<std::uint32_t> local_quota::level_of_other(time_point now, std::string_view coordinator) const
{
    const bool is_known = !m_level_source.empty() && m_level_source != coordinator;
    return is_known && now - m_level_received_at <= m_settings.level_lifetime ? std::optional(m_level) : std::nullopt;
}

std::uint32_t local_quota::tokens_to_request(time_point now) const
{
    // Rounded down: a node with few requests of an organisation would otherwise hold a token that expires unused for
    // nearly each request, which wastes most of the rate when the requests are spread over many nodes.
    const double prefetched_demand = demand(now) * to_seconds(m_settings.prefetch_time);
    const auto target = static_cast<std::uint32_t>(std::floor(std::min(prefetched_demand, m_limit.rate))) +
                        static_cast<std::uint32_t>(waiters.size()) + m_borrowed_tokens;
    return target > m_tokens ? target - m_tokens : 0;
}

} // namespace mulberry::detail
