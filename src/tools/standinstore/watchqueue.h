#pragma once

#include "tools/standincommon/standinserver.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace mulberry {

/// Queue of the messages of one watch that have not been streamed yet. Thread-safe.
class watch_queue {
public:
    void push(std::string message);
    /// Ends the stream after the queued messages.
    void close();
    /// Waits for the next message for at most the given time. Returns an empty text if there is none yet, and nothing
    /// if the queue is closed and empty.
    std::optional<std::string> next(duration max_wait);

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::string> m_messages;
    bool m_closed = false;
};

/// Streams the messages of a queue. Calls on_end when the stream is destroyed.
class watch_stream final : public standin_stream {
public:
    watch_stream(std::shared_ptr<watch_queue> queue, std::function<void()> on_end)
        : m_queue(std::move(queue)), m_on_end(std::move(on_end))
    {
    }
    ~watch_stream() override { m_on_end(); }

    std::optional<std::string> next(duration max_wait) override { return m_queue->next(max_wait); }

private:
    std::shared_ptr<watch_queue> m_queue;
    std::function<void()> m_on_end;
};

} // namespace mulberry
