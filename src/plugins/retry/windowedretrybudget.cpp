#include "plugins/retry/windowedretrybudget.h"

#include <algorithm>

namespace mulberry {

windowed_retry_budget::windowed_retry_budget(const windowed_retry_budget_settings& settings, timer_service& timers)
    : m_settings(settings), m_timers(timers)
{
}

windowed_retry_budget::slice_counts& windowed_retry_budget::current_slice()
{
    const duration slice_length = m_settings.window / static_cast<std::int64_t>(slices_per_window);
    const std::int64_t slice_number = m_timers.now().time_since_epoch() / slice_length;
    const auto size = static_cast<std::int64_t>(m_counts.size());
    for (std::int64_t number = std::max(m_slice_number + 1, slice_number - size + 1); number <= slice_number; ++number)
        m_counts[static_cast<std::size_t>(number % size)] = {};
    m_slice_number = slice_number;
    return m_counts[static_cast<std::size_t>(slice_number % size)];
}

/// Returns the sum over `size` slices. The most recent of them lies `first` slices before the current one.
double windowed_retry_budget::sum_of(double slice_counts::*member, std::size_t first, std::size_t size) const
{
    double total = 0;
    for (std::size_t index = first; index < first + size; ++index) {
        const auto ring_size = static_cast<std::int64_t>(m_counts.size());
        const std::int64_t slice_number = m_slice_number + ring_size - static_cast<std::int64_t>(index);
        total += m_counts[static_cast<std::size_t>(slice_number % ring_size)].*member;
    }
    return total;
}

void windowed_retry_budget::on_request(double repeat_share)
{
    slice_counts& now = current_slice();
    now.requests += 1;
    now.retries += repeat_share;
}

bool windowed_retry_budget::take(importance /*level*/)
{
    slice_counts& now = current_slice();
    // One slice more than a window is summed, because a window may begin within a slice.
    const double retries = sum_of(&slice_counts::retries, 0, slices_per_window + 1);
    const double requests = std::max(sum_of(&slice_counts::requests, 0, slices_per_window),
                                     sum_of(&slice_counts::requests, slices_per_window, slices_per_window));
    if (retries + 1 > m_settings.ratio * requests + m_settings.slack)
        return false;
    now.retries += 1;
    return true;
}

} // namespace mulberry
