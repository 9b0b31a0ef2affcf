#include "plugins/guard/upstreamratetracker.h"

namespace mulberry::detail {

bool upstream_rate_tracker::on_response(time_point forwarded_at, time_point now, std::optional<double> limit)
{
    const std::optional<double> before = m_current;
    m_has_response = true;
    if (limit) {
        m_current = limit;
        m_limit_named_at = now;
    }
    else if (forwarded_at > m_limit_named_at) {
        // A response to an earlier request may have been written before the upstream named its limit.
        m_current.reset();
    }
    return m_current != before;
}

bool upstream_rate_tracker::on_sender_limit(time_point now, std::optional<double> limit)
{
    if (m_has_response || !limit || m_current == limit)
        return false;
    m_current = limit;
    m_limit_named_at = now;
    return true;
}

} // namespace mulberry::detail
