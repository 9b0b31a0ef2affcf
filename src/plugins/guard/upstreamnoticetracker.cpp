#include "plugins/guard/upstreamnoticetracker.h"

namespace mulberry::detail {

bool upstream_notice_tracker::on_response(time_point forwarded_at, time_point now, const upstream_notice& notice)
{
    const upstream_notice before = m_current;
    m_has_response = true;
    if (notice.rate_limit) {
        m_current.rate_limit = notice.rate_limit;
        m_limit_named_at = now;
    }
    else if (forwarded_at > m_limit_named_at) {
        // A response to an earlier request may have been written before the upstream named its limit.
        m_current.rate_limit.reset();
    }
    return m_current != before;
}

bool upstream_notice_tracker::on_sender_notice(time_point now, const upstream_notice& notice)
{
    if (m_has_response || !notice.rate_limit || m_current.rate_limit == notice.rate_limit)
        return false;
    m_current.rate_limit = notice.rate_limit;
    m_limit_named_at = now;
    return true;
}

} // namespace mulberry::detail
