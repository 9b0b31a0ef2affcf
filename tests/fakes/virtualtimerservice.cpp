#include "fakes/virtualtimerservice.h"

#include <algorithm>

namespace mulberry {

timer_id virtual_timer_service::schedule(duration delay, std::function<void()> callback)
{
    const timer_id id = ++m_last_id;
    const time_point due = m_now + std::max(delay, duration{0});
    m_queue.emplace(key{due, id}, std::move(callback));
    m_due_times.emplace(id, due);
    return id;
}

void virtual_timer_service::cancel(timer_id id)
{
    const auto it = m_due_times.find(id);
    if (it == m_due_times.end())
        return;
    m_queue.erase({it->second, id});
    m_due_times.erase(it);
}

void virtual_timer_service::advance(duration interval)
{
    const time_point end = m_now + interval;
    while (!m_queue.empty() && m_queue.begin()->first.first <= end) {
        auto node = m_queue.extract(m_queue.begin());
        m_now = std::max(m_now, node.key().first);
        m_due_times.erase(node.key().second);
        node.mapped()();
    }
    m_now = end;
}

} // namespace mulberry
