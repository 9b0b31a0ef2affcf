#pragma once

#include <chrono>
#include <cstdint>

namespace mulberry::detail {

/// Bounds the lines of a log per second. Frequent kinds of line use a part of the bound only, so that they cannot push
/// out the others.
class log_rate {
public:
    using clock = std::chrono::steady_clock;

    void start(std::uint32_t lines_per_second) { m_limit = lines_per_second; }
    bool started() const { return m_limit > 0; }

    /// Begins a new second if the last one is over; true then.
    bool begin_second(clock::time_point now)
    {
        if (now - m_second < std::chrono::seconds(1))
            return false;
        m_second = now;
        m_lines = 0;
        return true;
    }

    /// Whether a line may be written that uses the bound up to a part of it, in (0, 1].
    bool allows(double part) const { return m_lines < static_cast<double>(m_limit) * part; }
    void count_line() { ++m_lines; }

private:
    std::uint32_t m_limit = 0;
    std::uint32_t m_lines = 0;
    clock::time_point m_second;
};

} // namespace mulberry::detail
