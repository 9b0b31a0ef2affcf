#pragma once

#include "plugins/admission/admissionqueue.h"

#include <cstdint>
#include <vector>

namespace mulberry::detail {

/// Learns how many requests an upstream runs at once without a rise of its service time. The service time of a window
/// is compared with the lowest one seen; the limit falls in proportion and grows while it is in full use.
class concurrency_limiter {
public:
    concurrency_limiter(std::uint32_t slots, bool learn, time_point now);

    /// Takes a finished request; `in_full_use` says that the limit was reached when it finished.
    void on_finish(time_point now, duration service_time, finish_result result, bool in_full_use);
    void set_slots(std::uint32_t slots);

    std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }
    /// Median service time of the last window; falls while nothing finishes, so that a bad estimate cannot refuse
    /// everything forever. Zero if unknown.
    duration expected_service_time(time_point now) const;

private:
    void close_window(time_point now);
    void adapt(double mean_us);
    bool is_fast() const;
    double lowest_limit() const;

    std::uint32_t m_slots;
    bool m_learn;
    double m_limit;
    /// Below this the limit grows fastest; set from the limit at which a series of timeouts began.
    double m_fast_growth_end = 0;
    double m_baseline_us = 0;
    double m_median_us = 0;
    time_point m_last_success;
    time_point m_window_start;
    std::vector<double> m_samples_us;
    std::uint32_t m_finished = 0;
    std::uint32_t m_timed_out = 0;
    bool m_in_full_use = false;
};

} // namespace mulberry::detail
