#pragma once

#include "plugins/admission/admissionqueue.h"

#include <cstdint>
#include <vector>

namespace mulberry::detail {

/// Learns how many requests an upstream can run at once before its service time rises. The mean service time of a
/// window is compared with a slowly adapting baseline: the limit is reduced in proportion to the rise, and grows while
/// requests reach it.
class concurrency_limiter {
public:
    concurrency_limiter(std::uint32_t slots, bool learn, time_point now);

    /// Records a finished request. `limit_reached` is true if the limit was reached when the request finished.
    void on_finish(time_point now, duration service_time, finish_result result, bool limit_reached);
    void set_slots(std::uint32_t slots);

    std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }
    /// Median service time of the last window. It decays while no request succeeds, so that an overestimate cannot
    /// cause all requests to be refused indefinitely. Zero if unknown.
    duration expected_service_time(time_point now) const;

private:
    void close_window(time_point now);
    void adapt(double mean_us);
    bool is_within_tolerance() const;
    double min_limit() const;

    std::uint32_t m_slots;
    bool m_learn;
    double m_limit;
    /// Below this value the limit grows at the faster rate; derived from the limit at which a series of timeouts began.
    double m_fast_growth_limit = 0;
    double m_baseline_us = 0;
    double m_median_us = 0;
    time_point m_last_success;
    time_point m_window_start;
    std::vector<double> m_samples_us;
    std::uint32_t m_finished = 0;
    std::uint32_t m_timed_out = 0;
    bool m_limit_reached = false;
};

} // namespace mulberry::detail
