#include "plugins/retry/earnedretrybudget.h"

#include <algorithm>

namespace mulberry {

earned_retry_budget::earned_retry_budget(earned_retry_budget_settings settings, timer_service& timers)
    : m_settings(settings), m_timers(timers), m_tokens(settings.capacity), m_updated_at(timers.now())
{
}

void earned_retry_budget::on_success()
{
    m_tokens = std::min(available() + m_settings.tokens_per_success, m_settings.capacity);
    m_updated_at = m_timers.now();
}

bool earned_retry_budget::take(importance level)
{
    m_tokens = available();
    m_updated_at = m_timers.now();
    const double reserved_tokens = level >= importance::high ? 0 : m_settings.reserved_fraction * m_settings.capacity;
    if (m_tokens < 1 + reserved_tokens)
        return false;
    m_tokens -= 1;
    return true;
}

double earned_retry_budget::available() const
{
    const double earned = to_seconds(m_timers.now() - m_updated_at) * m_settings.base_tokens_per_second;
    return std::min(m_tokens + earned, m_settings.capacity);
}

} // namespace mulberry
