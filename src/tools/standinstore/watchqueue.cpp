#include "tools/standinstore/watchqueue.h"

namespace mulberry {

void watch_queue::push(std::string message)
{
    const std::lock_guard lock(m_mutex);
    m_messages.push_back(std::move(message));
    m_changed.notify_all();
}

void watch_queue::close()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_changed.notify_all();
}

std::optional<std::string> watch_queue::next(duration max_wait)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, max_wait, [this] { return m_closed || !m_messages.empty(); });
    if (m_messages.empty())
        return m_closed ? std::nullopt : std::optional(std::string());
    std::string message = std::move(m_messages.front());
    m_messages.pop_front();
    return message;
}

} // namespace mulberry
