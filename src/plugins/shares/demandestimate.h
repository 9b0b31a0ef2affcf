#pragma once

#include "libs/base/time.h"
#include "plugins/shares/tokenbucket.h"

namespace mulberry::shares {

/// Offered load as an exponentially weighted moving average.
class demand_estimate {
public:
    /// Counts one request.
    void add(time_point now);
    /// Offered load in micro-tokens per second.
    micro_tokens rate(time_point now) const;

private:
    double m_rate = 0;
    time_point m_updated{};
};

} // namespace mulberry::shares
