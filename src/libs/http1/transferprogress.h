#pragma once

#include <chrono>
#include <cstddef>

namespace mulberry::detail {

/// Tells whether a transfer to or from a caller is slow: it has made no progress for a second, or has stayed below a
/// minimum rate in its last second.
class transfer_progress {
public:
    using clock = std::chrono::steady_clock;

    static constexpr std::chrono::seconds window{1};
    static constexpr double min_bytes_per_second = 64.0 * 1024;

    void start(clock::time_point now);
    void add(std::size_t bytes, clock::time_point now);
    bool is_slow(clock::time_point now) const;

private:
    bool is_window_slow(clock::time_point now) const;

    clock::time_point m_last_progress;
    clock::time_point m_window_begin;
    std::size_t m_window_bytes = 0;
    bool m_was_slow = false;
};

} // namespace mulberry::detail
