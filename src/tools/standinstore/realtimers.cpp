#include "tools/standinstore/realtimers.h"

#include <algorithm>

namespace mulberry {

time_point real_timers::now() const
{
    return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

timer_id real_timers::schedule(duration delay, std::function<void()> callback)
{
    const timer_id id = ++m_last_id;
    m_entries.emplace(now() + std::max(delay, duration{0}), entry{id, std::move(callback)});
    return id;
}

void real_timers::cancel(timer_id id)
{
    std::erase_if(m_entries, [id](const auto& element) { return element.second.id == id; });
}

void real_timers::run_due()
{
    while (!m_entries.empty() && m_entries.begin()->first <= now()) {
        const auto due = m_entries.extract(m_entries.begin());
        due.mapped().callback();
    }
}

} // namespace mulberry
