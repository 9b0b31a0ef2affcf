#include "libs/http/curlsockets.h"

#include "libs/eventloop/eventloop.h"

#include <chrono>
#include <utility>

namespace mulberry::detail {

curl_sockets::curl_sockets(event_loop& loop, CURLM* multi, std::function<void()> on_progress)
    : m_loop(loop), m_multi(multi), m_on_progress(std::move(on_progress)), m_timer(loop.context().get_executor())
{
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &curl_sockets::on_socket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &curl_sockets::on_timer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

curl_sockets::~curl_sockets()
{
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, nullptr);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, nullptr);
    for (const auto& [handle, socket] : m_sockets)
        socket->descriptor.release();
}

int curl_sockets::on_socket(CURL*, curl_socket_t handle, int what, void* self, void*)
{
    auto* sockets = static_cast<curl_sockets*>(self);
    if (what == CURL_POLL_REMOVE) {
        sockets->unwatch(handle);
    }
    else {
        sockets->watch(handle, what);
    }
    return 0;
}

int curl_sockets::on_timer(CURLM*, long timeout_ms, void* self)
{
    auto* sockets = static_cast<curl_sockets*>(self);
    if (timeout_ms < 0) {
        sockets->m_timer.cancel();
        return 0;
    }
    sockets->m_timer.start(std::chrono::milliseconds(timeout_ms),
                           [sockets] { sockets->run_socket_action(CURL_SOCKET_TIMEOUT, 0); });
    return 0;
}

void curl_sockets::watch(curl_socket_t handle, int what)
{
    auto& socket = m_sockets[handle];
    if (!socket)
        socket = std::make_shared<watched_socket>(m_loop.context(), handle);
    socket->requested_events = what;
    start_waiting(handle, socket);
}

void curl_sockets::unwatch(curl_socket_t handle)
{
    const auto found = m_sockets.find(handle);
    if (found == m_sockets.end())
        return;
    found->second->requested_events = 0;
    found->second->descriptor.release(); // libcurl closes the socket itself
    m_sockets.erase(found);
}

void curl_sockets::start_waiting(curl_socket_t handle, const std::shared_ptr<watched_socket>& socket)
{
    using descriptor = boost::asio::posix::stream_descriptor;
    const auto wait_for = [&](descriptor::wait_type type, int event) {
        socket->descriptor.async_wait(type, [this, alive = std::weak_ptr<bool>(m_alive), handle, socket,
                                             event](const boost::system::error_code& error) {
            if (!error && !alive.expired())
                on_ready(handle, socket, event);
        });
    };
    if ((socket->requested_events & CURL_POLL_IN) != 0 && !socket->waits_for_read) {
        socket->waits_for_read = true;
        wait_for(descriptor::wait_read, CURL_CSELECT_IN);
    }
    if ((socket->requested_events & CURL_POLL_OUT) != 0 && !socket->waits_for_write) {
        socket->waits_for_write = true;
        wait_for(descriptor::wait_write, CURL_CSELECT_OUT);
    }
}

void curl_sockets::on_ready(curl_socket_t handle, const std::shared_ptr<watched_socket>& socket, int event)
{
    if (event == CURL_CSELECT_IN) {
        socket->waits_for_read = false;
    }
    else {
        socket->waits_for_write = false;
    }
    const int required_event = event == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
    if ((socket->requested_events & required_event) == 0)
        return; // libcurl no longer requests this event or has closed the socket
    const std::weak_ptr<bool> alive = m_alive;
    run_socket_action(handle, event);
    if (alive.expired())
        return;
    const auto found = m_sockets.find(handle);
    if (found != m_sockets.end() && found->second == socket)
        start_waiting(handle, socket);
}

void curl_sockets::run_socket_action(curl_socket_t handle, int event)
{
    int running = 0;
    curl_multi_socket_action(m_multi, handle, event, &running);
    m_on_progress();
}

} // namespace mulberry::detail
