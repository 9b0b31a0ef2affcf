#include "libs/base/retrytimer.h"

#include <algorithm>
#include <utility>

namespace mulberry {

retry_timer::retry_timer(timer_service& timers, duration initial_delay, duration max_delay,
                         std::function<void()> callback)
    : m_timers(timers), m_initial_delay(initial_delay), m_max_delay(max_delay), m_delay(initial_delay),
      m_callback(std::move(callback))
{
}

retry_timer::~retry_timer()
{
    m_timers.cancel(m_pending);
}

void retry_timer::schedule()
{
    if (is_pending())
        return;
    m_pending = m_timers.schedule(m_delay, [this] {
        m_pending = 0;
        m_callback();
    });
    m_delay = std::min(m_delay * 2, m_max_delay);
}

} // namespace mulberry
