#include "plugins/admission/concurrencylimiter.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mulberry::detail {

namespace {

/// Length of a window with enough samples.
constexpr duration window{100'000};
/// Length of a window with too few samples.
constexpr duration max_window{1'000'000};
/// Number of samples needed to reduce the limit or adjust the baseline; the mean of fewer samples varies too much.
constexpr std::size_t min_reliable_samples = 30;
/// Number of samples that is enough to raise the limit.
constexpr std::size_t min_growth_samples = 5;
/// Number of samples that is stored per window; further ones are ignored.
constexpr std::size_t max_samples = 1'024;
/// Factor over the baseline from which a longer service time counts as queueing in the upstream. Smaller rises can be
/// due to the mix of requests.
constexpr double tolerance = 2;
/// Growth factor per window in which the limit was reached.
constexpr double growth_factor = 1.6;
/// Growth factor per window after a stall, up to a share of the limit before the stall, so that the limit recovers
/// within the recovery target.
constexpr double growth_factor_after_stall = 4;
constexpr double fast_growth_share = 0.7;
/// Smallest factor by which one window reduces the limit.
constexpr double min_reduction_factor = 0.7;
/// Share of the difference by which one window moves the baseline down and up. The baseline follows a lasting rise by
/// 1% per second.
constexpr double baseline_decrease = 0.2;
constexpr double baseline_increase = 0.001;
/// Share of the requests of a window that may time out without reducing the limit, because timeouts also have reasons
/// other than load.
constexpr double tolerated_timeouts = 0.1;
/// Minimum limit as a share of the slots. Recovery from a lower limit took longer than the recovery target.
constexpr double min_limit_share = 0.25;
/// Half-life of the expected service time while no request succeeds, in seconds.
constexpr double estimate_half_life_s = 1;

} // namespace

concurrency_limiter::concurrency_limiter(std::uint32_t slots, bool learn, time_point now)
    : m_slots(std::max(slots, 1U)), m_learn(learn), m_limit(m_slots), m_last_success(now), m_window_start(now)
{
}

void concurrency_limiter::set_slots(std::uint32_t slots)
{
    const double share_of_slots = m_limit / m_slots;
    m_slots = std::max(slots, 1U);
    m_limit = std::clamp(share_of_slots * m_slots, min_limit(), static_cast<double>(m_slots));
}

void concurrency_limiter::on_finish(time_point now, duration service_time, finish_result result, bool limit_reached)
{
    if (result == finish_result::cancelled)
        return;
    ++m_finished;
    m_limit_reached = m_limit_reached || limit_reached;
    if (result == finish_result::timed_out)
        ++m_timed_out;
    if (result == finish_result::succeeded) {
        m_last_success = now;
        if (m_samples_us.size() < max_samples)
            m_samples_us.push_back(static_cast<double>(service_time.count()));
    }
    const bool has_enough_samples =
        m_finished >=
        (is_within_tolerance() ? min_growth_samples : std::max<std::size_t>(min_reliable_samples, limit()));
    if (now - m_window_start >= (has_enough_samples ? window : max_window))
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
        m_fast_growth_limit = std::max(m_fast_growth_limit, m_limit * fast_growth_share);
        m_limit = std::max(m_limit * min_reduction_factor, min_limit());
    }
    else if (!m_samples_us.empty()) {
        adapt(std::accumulate(m_samples_us.begin(), m_samples_us.end(), 0.0) /
              static_cast<double>(m_samples_us.size()));
    }
    m_samples_us.clear();
    m_finished = 0;
    m_timed_out = 0;
    m_limit_reached = false;
    m_window_start = now;
}

void concurrency_limiter::adapt(double mean_us)
{
    if (m_baseline_us == 0)
        m_baseline_us = mean_us;
    const bool reliable = m_samples_us.size() >= min_reliable_samples;
    if (reliable)
        m_baseline_us += (mean_us - m_baseline_us) * (mean_us < m_baseline_us ? baseline_decrease : baseline_increase);
    if (!m_learn)
        return;
    const double gradient = tolerance * m_baseline_us / std::max(mean_us, 1.0);
    if (gradient < 1 && reliable) {
        m_limit *= std::max(gradient, min_reduction_factor);
        m_fast_growth_limit = std::min(m_fast_growth_limit, m_limit);
    }
    else if (gradient >= 1 && m_limit < m_fast_growth_limit) {
        m_limit = std::min(m_limit * growth_factor_after_stall, m_fast_growth_limit);
    }
    else if (gradient >= 1 && m_limit_reached) {
        m_limit = std::max(m_limit + 1, m_limit * growth_factor);
    }
    m_limit = std::clamp(m_limit, min_limit(), static_cast<double>(m_slots));
}

/// True if the samples of the current window give no reason to reduce the limit; the window may then be closed early.
bool concurrency_limiter::is_within_tolerance() const
{
    const double sum = std::accumulate(m_samples_us.begin(), m_samples_us.end(), 0.0);
    return m_timed_out == 0 && sum <= tolerance * m_baseline_us * static_cast<double>(m_samples_us.size());
}

double concurrency_limiter::min_limit() const
{
    return std::max(1.0, min_limit_share * m_slots);
}

duration concurrency_limiter::expected_service_time(time_point now) const
{
    // The service times of requests that were delayed by a stall do not predict those of later ones.
    const double estimate_us = std::min(m_median_us, tolerance * m_baseline_us);
    const double idle_s = to_seconds(now - m_last_success);
    return duration{static_cast<std::int64_t>(estimate_us * std::exp2(-idle_s / estimate_half_life_s))};
}

} // namespace mulberry::detail
