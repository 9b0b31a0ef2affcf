#include "tools/sharesexperiment/nodeclock.h"

#include <utility>

namespace mulberry::shares {

namespace {

constexpr std::int64_t full_speed = 1'000'000;

} // namespace

node_clock::node_clock(timer_service& simulation, duration start, std::int64_t speed)
    : m_simulation(simulation), m_simulation_start(simulation.now()), m_start(start), m_speed(speed)
{
}

time_point node_clock::now() const
{
    const std::int64_t elapsed = (m_simulation.now() - m_simulation_start).count();
    return m_start + duration{elapsed / full_speed * m_speed + elapsed % full_speed * m_speed / full_speed};
}

timer_id node_clock::schedule(duration delay, std::function<void()> callback)
{
    const timer_id id = ++m_last_id;
    if (m_stopped)
        return id;
    m_callbacks.emplace(id, std::move(callback));
    const duration simulation_delay = delay <= duration{0} ? duration{0}
                                                           : delay + delay / m_speed * (full_speed - m_speed) +
                                                                 delay % m_speed * (full_speed - m_speed) / m_speed;
    m_simulation.schedule(simulation_delay, [this, id] { run(id); });
    return id;
}

void node_clock::cancel(timer_id id)
{
    m_callbacks.erase(id);
}

void node_clock::run(timer_id id)
{
    if (m_paused) {
        m_overdue.push_back(id);
        return;
    }
    const auto found = m_callbacks.find(id);
    if (found == m_callbacks.end())
        return;
    const std::function<void()> callback = std::move(found->second);
    m_callbacks.erase(found);
    callback();
}

void node_clock::resume()
{
    m_paused = false;
    for (const timer_id id : std::exchange(m_overdue, {}))
        m_simulation.schedule(duration{0}, [this, id] { run(id); });
}

void node_clock::stop()
{
    m_stopped = true;
    m_callbacks.clear();
}

} // namespace mulberry::shares
