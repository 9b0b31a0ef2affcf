#include "libs/eventloop/asiotimerservice.h"

#include "libs/eventloop/eventloop.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace mulberry {

asio_timer_service::asio_timer_service(event_loop& loop) : m_timer(loop.context()) {}

time_point asio_timer_service::now() const
{
    // Unlike the steady clock this one counts the time for which the machine was suspended, so that leases, view ages
    // and withdrawals end in time. Timers then fire late by what the suspension took.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(
        std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

timer_id asio_timer_service::schedule(duration delay, std::function<void()> callback)
{
    const timer_id id = ++m_last_id;
    const time_point due = now() + std::max(delay, duration{0});
    m_due.emplace(id, due);
    const auto place = m_queue.emplace(key{due, id}, std::move(callback)).first;
    if (place == m_queue.begin() && !m_running_due)
        arm();
    return id;
}

void asio_timer_service::cancel(timer_id id)
{
    const auto found = m_due.find(id);
    if (found == m_due.end())
        return;
    // The system timer stays armed; it finds nothing due then.
    m_queue.erase(key{found->second, id});
    m_due.erase(found);
}

void asio_timer_service::arm()
{
    if (m_queue.empty())
        return;
    m_timer.expires_after(std::max(m_queue.begin()->first.first - now(), duration{0}));
    m_timer.async_wait([this, alive = std::weak_ptr<int>(m_alive)](const boost::system::error_code& error) {
        if (!error && !alive.expired())
            run_due();
    });
}

void asio_timer_service::run_due()
{
    const std::weak_ptr<int> alive = m_alive;
    m_running_due = true;
    // Fixed, so that callbacks that schedule without delay cannot keep the loop from its other work.
    const time_point limit = now();
    while (!m_queue.empty() && m_queue.begin()->first.first <= limit) {
        auto entry = m_queue.extract(m_queue.begin());
        m_due.erase(entry.key().second);
        entry.mapped()();
        if (alive.expired())
            return;
    }
    m_running_due = false;
    arm();
}

} // namespace mulberry
