#include "plugins/admission/ratepacer.h"

#include <algorithm>
#include <cmath>

namespace mulberry::detail {

namespace {

/// Admissions that may follow each other at once, as the time in which they accrue.
constexpr double burst_s = 0.25;
/// Rate of admissions at a lower or zero limit. Without any response, it would never be known that the limit has ended.
constexpr double min_rate = 0.5;

} // namespace

void rate_pacer::set_rate(time_point now, std::optional<double> per_second)
{
    const bool was_limited = is_limited();
    if (was_limited)
        m_tokens = tokens(now);
    m_updated_at = now;
    m_rate = per_second ? std::optional(std::max(*per_second, min_rate)) : std::nullopt;
    if (!m_rate)
        return;
    // Earlier admissions are not known, so that only one is allowed at once.
    m_tokens = was_limited ? std::min(m_tokens, capacity()) : 1;
}

duration rate_pacer::time_until(time_point now, double admissions) const
{
    if (!m_rate)
        return duration{0};
    const double missing = admissions - tokens(now);
    return missing <= 0 ? duration{0} : duration{std::llround(std::ceil(missing / *m_rate * 1e6))};
}

void rate_pacer::on_admitted(time_point now)
{
    if (!m_rate)
        return;
    m_tokens = tokens(now) - 1;
    m_updated_at = now;
}

double rate_pacer::tokens(time_point now) const
{
    return std::min(m_tokens + *m_rate * to_seconds(now - m_updated_at), capacity());
}

double rate_pacer::capacity() const
{
    return std::max(1.0, *m_rate * burst_s);
}

} // namespace mulberry::detail
