#include "fakes/nodetimers.h"

#include <utility>

namespace mulberry {

node_timers::~node_timers()
{
    for (const auto& [id, backing] : m_pending)
        m_backing.cancel(backing);
}

timer_id node_timers::schedule(duration delay, std::function<void()> callback)
{
    const timer_id id = ++m_last_id;
    std::function<void()> run = [this, id, callback = std::move(callback)] {
        if (m_pending.erase(id) > 0)
            callback();
    };
    m_pending[id] = m_backing.schedule(delay, wrap_callback(std::move(run)));
    return id;
}

void node_timers::cancel(timer_id id)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end())
        return;
    m_backing.cancel(it->second);
    m_pending.erase(it);
}

void node_timers::resume()
{
    m_paused = false;
    const std::weak_ptr<bool> alive = m_alive;
    for (const auto& callback : std::exchange(m_deferred, {})) {
        if (alive.expired())
            return;
        callback();
    }
}

} // namespace mulberry
