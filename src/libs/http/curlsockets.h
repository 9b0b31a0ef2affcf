#pragma once

#include "libs/eventloop/singleshottimer.h"

#include <functional>
#include <memory>
#include <unordered_map>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <curl/curl.h>

namespace mulberry {

class event_loop;

namespace detail {

/// Drives a libcurl multi handle by the sockets and the timer of an event loop. It runs on the loop's own thread,
/// because passing each request to another thread and back costs a wake-up of about 60 us in each direction on an idle
/// VM.
class curl_sockets {
public:
    /// `on_progress` is called after each call of libcurl, so that finished transfers can be processed. It must not add
    /// or remove transfers of other multi handles.
    curl_sockets(event_loop& loop, CURLM* multi, std::function<void()> on_progress);
    curl_sockets(const curl_sockets&) = delete;
    curl_sockets& operator=(const curl_sockets&) = delete;
    /// All transfers of the multi handle must have been removed before.
    ~curl_sockets();

private:
    struct watched_socket {
        watched_socket(boost::asio::io_context& context, curl_socket_t handle) : descriptor(context, handle) {}

        boost::asio::posix::stream_descriptor descriptor;
        int requested_events = 0;
        bool waits_for_read = false;
        bool waits_for_write = false;
    };

    static int on_socket(CURL* easy, curl_socket_t handle, int what, void* self, void* data);
    static int on_timer(CURLM* multi, long timeout_ms, void* self);

    void watch(curl_socket_t handle, int what);
    void unwatch(curl_socket_t handle);
    void start_waiting(curl_socket_t handle, const std::shared_ptr<watched_socket>& socket);
    void on_ready(curl_socket_t handle, const std::shared_ptr<watched_socket>& socket, int event);
    void run_socket_action(curl_socket_t handle, int event);

    event_loop& m_loop;
    CURLM* m_multi;
    std::function<void()> m_on_progress;
    single_shot_timer m_timer;
    std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> m_sockets;
    // Expires with this object, so that callbacks still queued in the event loop do not use it afterwards.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace detail

} // namespace mulberry
