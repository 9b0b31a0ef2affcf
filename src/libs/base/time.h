#pragma once

#include <chrono>
#include <cstdint>

namespace mulberry {

/// Clock tag of the process's monotonic time. Its time points are unrelated to the time of day and to the clocks of
/// other nodes.
struct monotonic_clock {};

/// Intervals and time points have microsecond resolution.
using duration = std::chrono::microseconds;
using time_point = std::chrono::time_point<monotonic_clock, duration>;

/// Converts an interval to fractional seconds, as used in rate computations.
constexpr double to_seconds(duration interval)
{
    return std::chrono::duration<double>(interval).count();
}

/// Converts seconds to an interval, truncated to whole microseconds.
constexpr duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// Converts an interval to milliseconds, truncated to a whole number.
constexpr std::int64_t to_milliseconds(duration interval)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(interval).count();
}

} // namespace mulberry
