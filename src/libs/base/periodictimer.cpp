#include "libs/base/periodictimer.h"

#include <utility>

namespace mulberry {

periodic_timer::periodic_timer(timer_service& timers, duration period, std::function<void()> callback)
    : m_timers(timers), m_period(period), m_callback(std::move(callback))
{
    schedule_next();
}

periodic_timer::~periodic_timer()
{
    m_timers.cancel(m_pending);
}

void periodic_timer::schedule_next()
{
    m_pending = m_timers.schedule(m_period, [this] {
        schedule_next();
        m_callback();
    });
}

} // namespace mulberry
