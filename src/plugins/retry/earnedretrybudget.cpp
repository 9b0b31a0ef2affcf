#include "plugins/retry/earnedretrybudget.h"

#include <algorithm>

namespace mulberry {

earned_retry_budget::earned_retry_budget(earned_retry_budget_settings settings, timer_service& timers)
    : m_settings(settings), m_timers(timers), m_level(settings.capacity), m_updated(timers.now())
{
}

void earned_retry_budget::on_success()
{
    m_level = std::min(available() + m_settings.earned_per_success, m_settings.capacity);
    m_updated = m_timers.now();
}

bool earned_retry_budget::take(importance level)
{
    m_level = available();
    m_updated = m_timers.now();
    const double reserve = level >= importance::high ? 0 : m_settings.important_reserve * m_settings.capacity;
    if (m_level < 1 + reserve)
        return false;
    m_level -= 1;
    return true;
}

double earned_retry_budget::available() const
{
    const double earned = to_seconds(m_timers.now() - m_updated) * m_settings.floor_per_second;
    return std::min(m_level + earned, m_settings.capacity);
}

} // namespace mulberry
