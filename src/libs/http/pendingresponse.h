#pragma once

#include "libs/http/httpclient.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

namespace mulberry::detail {

/// Passes one response from the event loop to the connection's thread that waits for it.
class pending_response {
public:
    enum class wait_result : std::uint8_t { response_ready, caller_gone };

    pending_response();
    pending_response(const pending_response&) = delete;
    pending_response& operator=(const pending_response&) = delete;
    ~pending_response();

    /// Stores the response and wakes the waiting thread; returns false if there is a response already or the caller has
    /// gone.
    bool set(http_response response);

    /// Blocks until the response is set or the other end of the socket has closed its sending direction.
    wait_result wait(int socket);

    /// Returns the response after wait() has returned response_ready.
    http_response take();

    /// Sets the callback for a caller that disconnects. Returns false, without storing the callback, if the caller has
    /// already disconnected. This function and notify_caller_gone() are called on the event loop only.
    bool set_on_caller_gone(std::function<void()> callback);
    void notify_caller_gone();

private:
    int m_event_descriptor = -1;
    std::mutex m_mutex;
    std::optional<http_response> m_response;
    bool m_caller_gone = false;
    std::function<void()> m_on_caller_gone;
    bool m_caller_gone_notified = false;
};

} // namespace mulberry::detail
