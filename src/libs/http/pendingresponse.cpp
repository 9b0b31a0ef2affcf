#include "libs/http/pendingresponse.h"

#include <array>
#include <system_error>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace mulberry::detail {

pending_response::pending_response() : m_event_descriptor(eventfd(0, EFD_CLOEXEC))
{
    if (m_event_descriptor < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
}

pending_response::~pending_response()
{
    close(m_event_descriptor);
}

bool pending_response::set(http_response response)
{
    const std::lock_guard lock(m_mutex);
    if (m_response || m_caller_gone)
        return false;
    m_response = std::move(response);
    eventfd_write(m_event_descriptor, 1);
    return true;
}

pending_response::wait_result pending_response::wait(int socket)
{
    std::array<pollfd, 2> descriptors{{{m_event_descriptor, POLLIN, 0}, {socket, POLLRDHUP, 0}}};
    while (true) {
        const int ready = poll(descriptors.data(), descriptors.size(), -1);
        if (ready < 0 && errno == EINTR)
            continue;
        const std::lock_guard lock(m_mutex);
        if (m_response)
            return wait_result::response_ready;
        m_caller_gone = true;
        return wait_result::caller_gone;
    }
}

http_response pending_response::take()
{
    const std::lock_guard lock(m_mutex);
    return std::move(m_response).value();
}

bool pending_response::set_on_caller_gone(std::function<void()> callback)
{
    if (m_caller_gone_notified)
        return false;
    m_on_caller_gone = std::move(callback);
    return true;
}

void pending_response::notify_caller_gone()
{
    m_caller_gone_notified = true;
    if (const auto callback = std::exchange(m_on_caller_gone, nullptr))
        callback();
}

} // namespace mulberry::detail
