#include "plugins/routing/upstreamobservation.h"

#include <algorithm>
#include <cmath>

namespace mulberry::detail {

namespace {

/// Longer than the fluctuation between single responses, shorter than the time in which a queue builds up.
constexpr double latency_time_constant_s = 0.5;
/// Sum of weights below which the observed latency is too old to be used. The typical latency of the service is then
/// used instead, so that the upstream receives calls again.
constexpr double min_latency_weight = 0.01;
/// Smoothing factor of the share of refusals: the weight of one outcome.
constexpr double refusal_smoothing_factor = 0.1;
/// Time that a refusal costs compared with a response: the attempt and the delay before the next one.
constexpr double refusal_cost_us = 500000;

/// Age up to which a response counts as recent.
constexpr duration recent_response_age{2'000'000};

} // namespace

void upstream_observation::on_sent(time_point now)
{
    if (m_in_flight++ == 0)
        m_last_progress = now;
}

void upstream_observation::on_response(time_point now, duration latency, const load_report& report)
{
    end_call(now);
    update_refused_share(now, 0);
    m_latency_sum += static_cast<double>(latency.count());
    m_latency_weight += 1;
    m_last_response = now;
    m_concurrency_limit = report.concurrency_limit;
    m_utilisation = static_cast<double>(report.utilisation);
    m_failures = 0;
    m_ejections = 0;
}

void upstream_observation::on_refused(time_point now)
{
    end_call(now);
    update_refused_share(now, 1);
}

std::uint32_t upstream_observation::on_failed(time_point now)
{
    // A failure doesn't update m_last_progress, so that consecutive failures increase the expected latency like a
    // stall.
    m_in_flight -= std::min(m_in_flight, 1U);
    update_refused_share(now, 1);
    return ++m_failures;
}

void upstream_observation::on_abandoned()
{
    m_in_flight -= std::min(m_in_flight, 1U);
}

void upstream_observation::end_call(time_point now)
{
    m_in_flight -= std::min(m_in_flight, 1U);
    m_last_progress = now;
}

void upstream_observation::decay(time_point now)
{
    const double factor = std::exp(-to_seconds(now - m_decayed_at) / latency_time_constant_s);
    m_latency_sum *= factor;
    m_latency_weight *= factor;
    m_refused_share *= factor;
    m_decayed_at = now;
}

void upstream_observation::update_refused_share(time_point now, double refused)
{
    decay(now);
    m_refused_share += (refused - m_refused_share) * refusal_smoothing_factor;
}

bool upstream_observation::has_recent_latency(time_point now) const
{
    return m_latency_weight * std::exp(-to_seconds(now - m_decayed_at) / latency_time_constant_s) > min_latency_weight;
}

duration upstream_observation::expected_latency(time_point now, duration typical_latency) const
{
    const double factor = std::exp(-to_seconds(now - m_decayed_at) / latency_time_constant_s);
    double latency =
        has_recent_latency(now) ? m_latency_sum / m_latency_weight : static_cast<double>(typical_latency.count());
    if (m_in_flight > 0)
        latency = std::max(latency, static_cast<double>((now - m_last_progress).count()));
    return duration{std::llround(latency + m_refused_share * factor * refusal_cost_us)};
}

double upstream_observation::cost(time_point now, const typical_upstream& typical) const
{
    const double capacity = std::max(m_concurrency_limit == 0 ? typical.concurrency_limit : m_concurrency_limit, 1.0);
    // While no latency is known, the added 1 us lets the number of calls in flight decide the comparison.
    return (static_cast<double>(expected_latency(now, typical.latency).count()) + 1) * (m_in_flight + 1) / capacity;
}

void upstream_observation::set_announced_limit(std::uint32_t concurrency_limit)
{
    if (m_concurrency_limit == 0)
        m_concurrency_limit = concurrency_limit;
}

double upstream_observation::utilisation(time_point now) const
{
    return has_recent_response(now) ? m_utilisation : 0;
}

bool upstream_observation::has_recent_response(time_point now) const
{
    return now - m_last_response <= recent_response_age;
}

void upstream_observation::eject(time_point now, duration initial_duration, duration max_duration)
{
    // Limits the shift; 2^20 times the initial duration exceeds any sensible maximum.
    const std::uint32_t doublings = std::min(m_ejections, 20U);
    m_ejected_until = now + std::min(initial_duration * (1 << doublings), max_duration);
    ++m_ejections;
}

} // namespace mulberry::detail
