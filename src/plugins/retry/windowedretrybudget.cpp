#include "plugins/retry/windowedretrybudget.h"

#include <algorithm>

namespace mulberry {

windowed_retry_budget::windowed_retry_budget(const windowed_retry_budget_settings& settings, timer_service& timers)
    : m_settings(settings), m_timers(timers)
{
}

windowed_retry_budget::count& windowed_retry_budget::current()
{
    const duration part_length = m_settings.window / static_cast<std::int64_t>(parts);
    const std::int64_t part = m_timers.now().time_since_epoch() / part_length;
    const auto size = static_cast<std::int64_t>(m_counts.size());
    for (std::int64_t each = std::max(m_part + 1, part - size + 1); each <= part; ++each)
        m_counts[static_cast<std::size_t>(each % size)] = {};
    m_part = part;
    return m_counts[static_cast<std::size_t>(part % size)];
}

/// Sum over a number of parts, the first of which lies `first` parts before the current one.
double windowed_retry_budget::sum(double count::*member, std::size_t first, std::size_t size) const
{
    double total = 0;
    for (std::size_t index = first; index < first + size; ++index) {
        const auto ring = static_cast<std::int64_t>(m_counts.size());
        const std::int64_t part = m_part + ring - static_cast<std::int64_t>(index);
        total += m_counts[static_cast<std::size_t>(part % ring)].*member;
    }
    return total;
}

void windowed_retry_budget::on_request(double repeat_share)
{
    count& now = current();
    now.requests += 1;
    now.retries += repeat_share;
}

bool windowed_retry_budget::take(importance /*level*/)
{
    count& now = current();
    // One part more than a window, because a window may begin within a part.
    const double retries = sum(&count::retries, 0, parts + 1);
    const double requests = std::max(sum(&count::requests, 0, parts), sum(&count::requests, parts, parts));
    if (retries + 1 > m_settings.ratio * requests + m_settings.slack)
        return false;
    now.retries += 1;
    return true;
}

} // namespace mulberry
