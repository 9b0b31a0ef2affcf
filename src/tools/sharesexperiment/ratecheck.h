#pragma once

#include "libs/base/time.h"

#include <cstdint>

namespace mulberry::shares {

/// Checks that the number admitted over every window stays within rate x window + burst. That holds for all windows
/// exactly if a bucket with this rate and burst, full at the start, never runs empty.
class rate_check {
public:
    rate_check() = default;
    rate_check(std::int64_t rate, std::int64_t burst) : m_rate(rate), m_burst(burst), m_level(burst * unit) {}

    /// Changes the bound from now on.
    void set_limits(std::int64_t rate, std::int64_t burst, time_point now);
    /// Counts an admission; returns whether the bound holds.
    bool admit(time_point now);
    /// Counts an offered request; returns whether an exact counter would admit it. For the oracle.
    bool offer(time_point now);

private:
    /// Requests per second times microseconds.
    static constexpr std::int64_t unit = 1'000'000;

    void advance(time_point now);

    std::int64_t m_rate = 0;
    std::int64_t m_burst = 0;
    std::int64_t m_level = 0;
    time_point m_updated{};
};

} // namespace mulberry::shares
