#include "plugins/admission/concurrencylimiter.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mulberry::detail {

namespace {

constexpr duration window{100'000};
constexpr duration longest_window{1'000'000};
/// The mean of fewer samples varies too much to lower the limit or move the baseline.
constexpr std::size_t reliable_samples = 30;
/// Enough to raise the limit again.
constexpr std::size_t least_samples = 5;
constexpr std::size_t most_samples = 1'024;
/// Service times vary with the mix of requests; only a rise beyond this factor counts as queueing in the upstream.
constexpr double tolerance = 2;
/// Growth per window in full use.
constexpr double growth = 1.6;
/// Growth up to a part of the limit that held before a stall, so that the limit is back within the recovery target.
constexpr double growth_after_stall = 4;
constexpr double fast_growth_part = 0.7;
constexpr double steepest_fall = 0.7;
/// Part of the difference by which one window moves the baseline down, and up. A lasting rise is followed by 1% a
/// second.
constexpr double baseline_fall = 0.2;
constexpr double baseline_rise = 0.001;
/// Share of requests in a window that may time out for reasons other than load.
constexpr double tolerated_timeouts = 0.1;
/// The limit stays above this part of the slots; from a lower one the growth back took longer than the recovery target.
constexpr double lowest_part = 0.25;
constexpr double estimate_half_life_s = 1;

} // namespace

concurrency_limiter::concurrency_limiter(std::uint32_t slots, bool learn, time_point now)
    : m_slots(std::max(slots, 1U)), m_learn(learn), m_limit(m_slots), m_last_success(now), m_window_start(now)
{
}

void concurrency_limiter::set_slots(std::uint32_t slots)
{
    const double part = m_limit / m_slots;
    m_slots = std::max(slots, 1U);
    m_limit = std::clamp(part * m_slots, lowest_limit(), static_cast<double>(m_slots));
}

void concurrency_limiter::on_finish(time_point now, duration service_time, finish_result result, bool in_full_use)
{
    if (result == finish_result::cancelled)
        return;
    ++m_finished;
    m_in_full_use = m_in_full_use || in_full_use;
    if (result == finish_result::timed_out)
        ++m_timed_out;
    if (result == finish_result::succeeded) {
        m_last_success = now;
        if (m_samples_us.size() < most_samples)
            m_samples_us.push_back(static_cast<double>(service_time.count()));
    }
    const bool enough = m_finished >= (is_fast() ? least_samples : std::max<std::size_t>(reliable_samples, limit()));
    if (now - m_window_start >= (enough ? window : longest_window))
        close_window(now);
}

void concurrency_limiter::close_window(time_point now)
{
    const bool many_timeouts = m_timed_out > tolerated_timeouts * m_finished;
    if (!m_samples_us.empty()) {
        const auto middle = m_samples_us.begin() + static_cast<std::ptrdiff_t>(m_samples_us.size() / 2);
        std::nth_element(m_samples_us.begin(), middle, m_samples_us.end());
        m_median_us = *middle;
    }
    if (many_timeouts) {
        m_fast_growth_end = std::max(m_fast_growth_end, m_limit * fast_growth_part);
        m_limit = std::max(m_limit * steepest_fall, lowest_limit());
    }
    else if (!m_samples_us.empty()) {
        adapt(std::accumulate(m_samples_us.begin(), m_samples_us.end(), 0.0) /
              static_cast<double>(m_samples_us.size()));
    }
    m_samples_us.clear();
    m_finished = 0;
    m_timed_out = 0;
    m_in_full_use = false;
    m_window_start = now;
}

void concurrency_limiter::adapt(double mean_us)
{
    if (m_baseline_us == 0)
        m_baseline_us = mean_us;
    const bool reliable = m_samples_us.size() >= reliable_samples;
    if (reliable)
        m_baseline_us += (mean_us - m_baseline_us) * (mean_us < m_baseline_us ? baseline_fall : baseline_rise);
    if (!m_learn)
        return;
    const double gradient = tolerance * m_baseline_us / std::max(mean_us, 1.0);
    if (gradient < 1 && reliable) {
        m_limit *= std::max(gradient, steepest_fall);
        m_fast_growth_end = std::min(m_fast_growth_end, m_limit);
    }
    else if (gradient >= 1 && m_limit < m_fast_growth_end) {
        m_limit = std::min(m_limit * growth_after_stall, m_fast_growth_end);
    }
    else if (gradient >= 1 && m_in_full_use) {
        m_limit = std::max(m_limit + 1, m_limit * growth);
    }
    m_limit = std::clamp(m_limit, lowest_limit(), static_cast<double>(m_slots));
}

/// Whether the window so far gives no reason to lower the limit; it may then be closed early.
bool concurrency_limiter::is_fast() const
{
    const double sum = std::accumulate(m_samples_us.begin(), m_samples_us.end(), 0.0);
    return m_timed_out == 0 && sum <= tolerance * m_baseline_us * static_cast<double>(m_samples_us.size());
}

double concurrency_limiter::lowest_limit() const
{
    return std::max(1.0, lowest_part * m_slots);
}

duration concurrency_limiter::expected_service_time(time_point now) const
{
    // Requests that sat out a stall say nothing about the next ones.
    const double estimate_us = std::min(m_median_us, tolerance * m_baseline_us);
    const double idle_s = to_seconds(now - m_last_success);
    return duration{static_cast<std::int64_t>(estimate_us * std::exp2(-idle_s / estimate_half_life_s))};
}

} // namespace mulberry::detail
