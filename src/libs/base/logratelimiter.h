#pragma once

#include <chrono>
#include <cstdint>

namespace mulberry::detail {

/// Limits the number of log lines per second. Frequent kinds of line may use only a fraction of the limit, so that they
/// do not displace rare ones.
class log_rate_limiter {
public:
    using clock = std::chrono::steady_clock;

    void start(std::uint32_t lines_per_second) { m_limit = lines_per_second; }
    bool started() const { return m_limit > 0; }

    /// Starts a new second and returns true if the current one has ended.
    bool begin_second(clock::time_point now)
    {
        if (now - m_second_start < std::chrono::seconds(1))
            return false;
        m_second_start = now;
        m_lines = 0;
        return true;
    }

    /// Returns whether fewer lines than the given fraction of the limit, in (0, 1], were written in this second.
    bool allows(double fraction) const { return m_lines < static_cast<double>(m_limit) * fraction; }
    void count_line() { ++m_lines; }

private:
    std::uint32_t m_limit = 0;
    std::uint32_t m_lines = 0;
    clock::time_point m_second_start;
};

} // namespace mulberry::detail
