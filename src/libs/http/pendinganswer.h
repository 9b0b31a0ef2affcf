#pragma once

#include "libs/http/httpclient.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

namespace mulberry::detail {

/// Hands one answer from the event loop to the connection's thread that waits for it.
class pending_answer {
public:
    enum class wait_result : std::uint8_t { answered, caller_gone };

    pending_answer();
    pending_answer(const pending_answer&) = delete;
    pending_answer& operator=(const pending_answer&) = delete;
    ~pending_answer();

    /// Stores the answer and wakes the waiting thread; false if there is an answer already or the caller has gone.
    bool set(http_answer answer);

    /// Blocks until the answer is there or the other end of the socket has closed its sending direction.
    wait_result wait(int socket);

    /// The answer after a successful wait.
    http_answer take();

    /// The rest is used on the event loop only. Sets the callback for a caller that goes away; false if it has gone
    /// already, and then the callback is not kept.
    bool set_on_gone(std::function<void()> callback);
    void notify_gone();

private:
    int m_event = -1;
    std::mutex m_mutex;
    std::optional<http_answer> m_answer;
    bool m_caller_gone = false;
    std::function<void()> m_on_gone;
    bool m_gone_notified = false;
};

} // namespace mulberry::detail
