#include "libs/http/pendinganswer.h"

#include <array>
#include <system_error>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace mulberry::detail {

pending_answer::pending_answer() : m_event(eventfd(0, EFD_CLOEXEC))
{
    if (m_event < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
}

pending_answer::~pending_answer()
{
    close(m_event);
}

bool pending_answer::set(http_answer answer)
{
    const std::lock_guard lock(m_mutex);
    if (m_answer || m_caller_gone)
        return false;
    m_answer = std::move(answer);
    eventfd_write(m_event, 1);
    return true;
}

pending_answer::wait_result pending_answer::wait(int socket)
{
    std::array<pollfd, 2> watched{{{m_event, POLLIN, 0}, {socket, POLLRDHUP, 0}}};
    while (true) {
        const int ready = poll(watched.data(), watched.size(), -1);
        if (ready < 0 && errno == EINTR)
            continue;
        const std::lock_guard lock(m_mutex);
        if (m_answer)
            return wait_result::answered;
        m_caller_gone = true;
        return wait_result::caller_gone;
    }
}

http_answer pending_answer::take()
{
    const std::lock_guard lock(m_mutex);
    return std::move(m_answer).value();
}

bool pending_answer::set_on_gone(std::function<void()> callback)
{
    if (m_gone_notified)
        return false;
    m_on_gone = std::move(callback);
    return true;
}

void pending_answer::notify_gone()
{
    m_gone_notified = true;
    if (const auto callback = std::exchange(m_on_gone, nullptr))
        callback();
}

} // namespace mulberry::detail
