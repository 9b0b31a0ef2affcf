#include "plugins/shares/demandestimate.h"

#include <cmath>

namespace mulberry::shares {

namespace {

/// Time constant of the mean. It smooths the load of a node that receives one request per second, and is short compared
/// with the report interval.
constexpr double time_constant_s = 5;

} // namespace

void demand_estimate::add(time_point now)
{
    m_rate = m_rate * std::exp(-to_seconds(now - m_updated) / time_constant_s) + 1 / time_constant_s;
    m_updated = now;
}

micro_tokens demand_estimate::rate(time_point now) const
{
    const double current = m_rate * std::exp(-to_seconds(now - m_updated) / time_constant_s);
    // A load below one request per hundred seconds is reported as zero, so that idle organisations cause no reports.
    return current < 0.01 ? 0 : std::llround(current * static_cast<double>(one_token));
}

} // namespace mulberry::shares
