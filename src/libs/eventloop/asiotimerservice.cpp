#include "libs/eventloop/asiotimerservice.h"

#include "libs/eventloop/eventloop.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace mulberry {

asio_timer_service::asio_timer_service(event_loop& loop) : m_timer(loop.context()) {}

time_point asio_timer_service::now() const
{
    // Unlike the steady clock, this clock includes the time for which the machine was suspended, so that leases, view
    // ages and withdrawals expire on time. Timers that were armed before a suspension fire late by its duration.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(
        std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

timer_id asio_timer_service::schedule(duration delay, std::function<void()> callback)
{
    const timer_id id = ++m_last_id;
    const time_point due = now() + std::max(delay, duration{0});
    m_due_times.emplace(id, due);
    const auto position = m_queue.emplace(queue_key{due, id}, std::move(callback)).first;
    if (position == m_queue.begin() && !m_running_callbacks)
        arm_timer();
    return id;
}

void asio_timer_service::cancel(timer_id id)
{
    const auto found = m_due_times.find(id);
    if (found == m_due_times.end())
        return;
    // The system timer stays armed. If it was armed for this callback, it expires without finding a due callback.
    m_queue.erase(queue_key{found->second, id});
    m_due_times.erase(found);
}

void asio_timer_service::arm_timer()
{
    if (m_queue.empty())
        return;
    m_timer.expires_after(std::max(m_queue.begin()->first.first - now(), duration{0}));
    m_timer.async_wait([this, alive = std::weak_ptr<int>(m_alive)](const boost::system::error_code& error) {
        if (!error && !alive.expired())
            run_due_callbacks();
    });
}

void asio_timer_service::run_due_callbacks()
{
    const std::weak_ptr<int> alive = m_alive;
    m_running_callbacks = true;
    try {
        run_callbacks_until(now(), alive);
    }
    catch (...) {
        // The callbacks that are still due run at the next expiry.
        if (!alive.expired())
            finish_callbacks();
        throw;
    }
    if (!alive.expired())
        finish_callbacks();
}

void asio_timer_service::run_callbacks_until(time_point limit, const std::weak_ptr<int>& alive)
{
    while (!alive.expired() && !m_queue.empty() && m_queue.begin()->first.first <= limit) {
        auto entry = m_queue.extract(m_queue.begin());
        m_due_times.erase(entry.key().second);
        entry.mapped()();
    }
}

void asio_timer_service::finish_callbacks()
{
    m_running_callbacks = false;
    arm_timer();
}

} // namespace mulberry
