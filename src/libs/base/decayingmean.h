#pragma once

#include "libs/base/time.h"

#include <cmath>

namespace mulberry {

/// Exponentially weighted mean of recent samples. The weight of a sample decreases by a factor of e per time constant.
class decaying_mean {
public:
    explicit decaying_mean(duration time_constant) : m_time_constant_s(to_seconds(time_constant)) {}

    void add(time_point now, double sample)
    {
        const double factor = decay(now);
        m_sum = m_sum * factor + sample;
        m_weight = m_weight * factor + 1;
        m_updated = now;
    }

    /// Returns the total weight of the samples, which is about the number of samples within the last time constant.
    double weight(time_point now) const { return m_weight * decay(now); }

    /// Returns the weighted mean over the samples and `prior` additional samples of value 0. Returns 0 if the total
    /// weight is 0.
    double mean(time_point now, double prior = 0) const
    {
        const double factor = decay(now);
        const double weight = m_weight * factor + prior;
        return weight > 0 ? m_sum * factor / weight : 0;
    }

private:
    /// Returns the factor by which weights have decreased since the last sample.
    double decay(time_point now) const { return std::exp(-to_seconds(now - m_updated) / m_time_constant_s); }

    double m_time_constant_s;
    double m_sum = 0;
    double m_weight = 0;
    time_point m_updated;
};

} // namespace mulberry
