#pragma once

#include "libs/base/time.h"

#include <cstdint>

namespace mulberry::shares {

/// Checks that the number of admissions in every window stays within rate x window + burst. This holds for all windows
/// if and only if a bucket with this rate and burst, full at the start, never runs empty.
class rate_check {
public:
    rate_check() = default;
    rate_check(std::int64_t rate, std::int64_t burst) : m_rate(rate), m_burst(burst), m_level(burst * unit) {}

    /// Changes the bound from now on.
    void set_limits(std::int64_t rate, std::int64_t burst, time_point now);
    /// Counts an admission; returns whether the bound holds.
    bool admit(time_point now);
    /// Counts an offered request; returns whether an exact counter would admit it. Used as the oracle.
    bool offer(time_point now);

private:
    /// One request in the unit of m_level: requests per second times microseconds.
    static constexpr std::int64_t unit = 1'000'000;

    void advance(time_point now);

    std::int64_t m_rate = 0;
    std::int64_t m_burst = 0;
    std::int64_t m_level = 0;
    time_point m_updated{};
};

} // namespace mulberry::shares
