#include "libs/http1/transferprogress.h"

namespace mulberry::detail {

void transfer_progress::start(clock::time_point now)
{
    m_last_progress = now;
    m_window_begin = now;
    m_window_bytes = 0;
    m_was_slow = false;
}

void transfer_progress::add(std::size_t bytes, clock::time_point now)
{
    if (now - m_window_begin >= window) {
        m_was_slow = is_window_slow(now);
        m_window_begin = now;
        m_window_bytes = 0;
    }
    m_window_bytes += bytes;
    m_last_progress = now;
}

bool transfer_progress::is_slow(clock::time_point now) const
{
    if (now - m_last_progress >= window)
        return true;
    return now - m_window_begin >= window ? is_window_slow(now) : m_was_slow;
}

bool transfer_progress::is_window_slow(clock::time_point now) const
{
    const double seconds = std::chrono::duration<double>(now - m_window_begin).count();
    return static_cast<double>(m_window_bytes) < min_bytes_per_second * seconds;
}

} // namespace mulberry::detail
