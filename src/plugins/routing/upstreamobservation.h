#pragma once

#include "libs/base/time.h"
#include "plugins/admission/loadreport.h"

#include <cstdint>

namespace mulberry::detail {

/// Typical values of a service's upstreams, used for an upstream without observations of its own. 0 means unknown.
struct typical_upstream {
    duration latency{0};
    double concurrency_limit = 0;
};

/// This node's observations of one upstream: calls in flight, latency, refusals and failures. The weight of latencies
/// and refusals decays with time.
class upstream_observation {
public:
    void on_sent(time_point now);
    void on_response(time_point now, duration latency, const load_report& report);
    void on_refused(time_point now);
    /// Returns the number of consecutive failures.
    std::uint32_t on_failed(time_point now);
    void on_abandoned();

    /// Expected time until a response. Includes the cost of refusals and, while calls are in flight, the time since the
    /// last response or refusal. Without recent responses it is based on the typical latency of the service.
    duration expected_latency(time_point now, duration typical_latency) const;
    /// Relative cost of one more call: the expected latency times the calls in flight, including this one, divided by
    /// the concurrency limit.
    double cost(time_point now, const typical_upstream& typical) const;
    std::uint32_t in_flight() const { return m_in_flight; }
    /// Maximum number of concurrent calls, as reported in the upstream's last response, or as announced before the
    /// first response; 0 if unknown.
    std::uint32_t concurrency_limit() const { return m_concurrency_limit; }
    /// Sets the concurrency limit unless a response or an earlier announcement has set it.
    void set_announced_limit(std::uint32_t concurrency_limit);

    /// True if there are responses recent enough to estimate the latency from them.
    bool has_recent_latency(time_point now) const;
    /// Fraction of the upstream's slots in use, as reported in its last response; 0 without a recent response.
    double utilisation(time_point now) const;
    /// True if the upstream responded within the last 2 s.
    bool has_recent_response(time_point now) const;
    /// True while the upstream is excluded from the choice as an outlier.
    bool is_ejected(time_point now) const { return now < m_ejected_until; }
    /// Ejects the upstream. Each further ejection without a response in between doubles the duration.
    void eject(time_point now, duration initial_duration, duration max_duration);

private:
    void end_call(time_point now);
    void decay(time_point now);
    void update_refused_share(time_point now, double refused);

    std::uint32_t m_in_flight = 0;
    std::uint32_t m_concurrency_limit = 0;
    double m_utilisation = 0;
    /// Weighted sum of recent latencies in microseconds, and the sum of their weights.
    double m_latency_sum = 0;
    double m_latency_weight = 0;
    double m_refused_share = 0;
    time_point m_decayed_at;
    /// Time of the last response or refusal, or of the first call sent while no other was in flight.
    time_point m_last_progress;
    time_point m_last_response{duration::min() / 2};
    std::uint32_t m_failures = 0;
    std::uint32_t m_ejections = 0;
    time_point m_ejected_until;
};

} // namespace mulberry::detail
