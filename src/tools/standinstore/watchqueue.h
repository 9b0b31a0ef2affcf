#pragma once

#include "tools/standincommon/standinserver.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace mulberry {

/// Messages of one watch that wait to be streamed. Thread-safe.
class watch_queue {
public:
    void push(std::string message);
    /// Ends the stream after the messages that wait.
    void close();
    std::optional<std::string> next(duration longest_wait);

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::string> m_messages;
    bool m_closed = false;
};

/// Streams a queue and calls back when the stream is gone.
class watch_stream final : public standin_stream {
public:
    watch_stream(std::shared_ptr<watch_queue> queue, std::function<void()> on_end)
        : m_queue(std::move(queue)), m_on_end(std::move(on_end))
    {
    }
    ~watch_stream() override { m_on_end(); }

    std::optional<std::string> next(duration longest_wait) override { return m_queue->next(longest_wait); }

private:
    std::shared_ptr<watch_queue> m_queue;
    std::function<void()> m_on_end;
};

} // namespace mulberry
