#pragma once

#include "libs/base/time.h"
#include "plugins/admission/loadreport.h"

#include <cstdint>

namespace mulberry::detail {

/// What stands in for an upstream of a service until it has observations of its own. 0 where nothing is known.
struct typical_upstream {
    duration latency{0};
    double concurrency_limit = 0;
};

/// What this node has seen of one upstream: calls in flight, latency, refusals and failures. Old observations fade.
class upstream_observation {
public:
    void on_sent(time_point now);
    void on_answer(time_point now, duration latency, const load_report& report);
    void on_refused(time_point now);
    /// Returns the number of failures in a row.
    std::uint32_t on_failed(time_point now);
    void on_abandoned();

    /// Expected time to an answer, refusals and a stall of the answers included. Without recent answers the typical
    /// latency of the service stands in.
    duration expected_latency(time_point now, duration typical) const;
    /// Relative cost of one more call: the expected latency times the calls in flight per unit of capacity.
    double cost(time_point now, const typical_upstream& typical) const;
    std::uint32_t in_flight() const { return m_in_flight; }
    /// Calls that the upstream takes at once, as its last answer said or as announced before the first; 0 if unknown.
    std::uint32_t concurrency_limit() const { return m_limit; }
    void announce_limit(std::uint32_t concurrency_limit);

    /// Whether there are answers recent enough for a latency.
    bool is_known(time_point now) const;
    /// Part of its slots in use as its last answer said; 0 if that was long ago.
    double utilisation(time_point now) const;
    /// Whether an answer came within the last seconds.
    bool answers(time_point now) const;
    bool is_ejected(time_point now) const { return now < m_ejected_until; }
    void eject(time_point now, duration first, duration longest);

private:
    void finish(time_point now);
    void fade(time_point now);
    void note_refusal(time_point now, double refused);

    std::uint32_t m_in_flight = 0;
    std::uint32_t m_limit = 0;
    double m_utilisation = 0;
    /// Sum and weight of recent latencies in microseconds.
    double m_latency_sum = 0;
    double m_latency_weight = 0;
    double m_refused_share = 0;
    time_point m_updated;
    /// Last answer, or the first call sent after all others had ended.
    time_point m_last_progress;
    time_point m_last_answer{duration::min() / 2};
    std::uint32_t m_failures = 0;
    std::uint32_t m_ejections = 0;
    time_point m_ejected_until;
};

} // namespace mulberry::detail
