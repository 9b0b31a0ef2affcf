#include "plugins/routing/upstreamobservation.h"

#include <algorithm>
#include <cmath>

namespace mulberry::detail {

namespace {

/// Long against the noise of single answers, short against the time a queue takes to build up.
constexpr double latency_time_constant_s = 0.5;
/// Weight below which a latency is too old to be used; the upstream is then tried again.
constexpr double least_weight = 0.01;
/// Part by which one decision moves the share of refusals.
constexpr double refusal_gain = 0.1;
/// What a refusal costs compared with an answer: the attempt and the delay before the next one.
constexpr double refusal_cost_us = 500000;

constexpr duration recent_answer{2'000'000};

} // namespace

void upstream_observation::on_sent(time_point now)
{
    if (m_in_flight++ == 0)
        m_last_progress = now;
}

void upstream_observation::on_answer(time_point now, duration latency, const load_report& report)
{
    finish(now);
    note_refusal(now, 0);
    m_latency_sum += static_cast<double>(latency.count());
    m_latency_weight += 1;
    m_last_answer = now;
    m_limit = report.concurrency_limit;
    m_utilisation = static_cast<double>(report.utilisation);
    m_failures = 0;
    m_ejections = 0;
}

void upstream_observation::on_refused(time_point now)
{
    finish(now);
    note_refusal(now, 1);
}

std::uint32_t upstream_observation::on_failed(time_point now)
{
    // A failure is no progress: a row of them must look like a stall.
    m_in_flight -= std::min(m_in_flight, 1U);
    note_refusal(now, 1);
    return ++m_failures;
}

void upstream_observation::on_abandoned()
{
    m_in_flight -= std::min(m_in_flight, 1U);
}

void upstream_observation::finish(time_point now)
{
    m_in_flight -= std::min(m_in_flight, 1U);
    m_last_progress = now;
}

void upstream_observation::fade(time_point now)
{
    const double factor = std::exp(-to_seconds(now - m_updated) / latency_time_constant_s);
    m_latency_sum *= factor;
    m_latency_weight *= factor;
    m_refused_share *= factor;
    m_updated = now;
}

void upstream_observation::note_refusal(time_point now, double refused)
{
    fade(now);
    m_refused_share += (refused - m_refused_share) * refusal_gain;
}

bool upstream_observation::is_known(time_point now) const
{
    return m_latency_weight * std::exp(-to_seconds(now - m_updated) / latency_time_constant_s) > least_weight;
}

duration upstream_observation::expected_latency(time_point now, duration typical) const
{
    const double factor = std::exp(-to_seconds(now - m_updated) / latency_time_constant_s);
    double latency = is_known(now) ? m_latency_sum / m_latency_weight : static_cast<double>(typical.count());
    if (m_in_flight > 0)
        latency = std::max(latency, static_cast<double>((now - m_last_progress).count()));
    return duration{std::llround(latency + m_refused_share * factor * refusal_cost_us)};
}

double upstream_observation::cost(time_point now, const typical_upstream& typical) const
{
    const double capacity = std::max(m_limit == 0 ? typical.concurrency_limit : m_limit, 1.0);
    // 1 us keeps the calls in flight in the comparison while no latency is known.
    return (static_cast<double>(expected_latency(now, typical.latency).count()) + 1) * (m_in_flight + 1) / capacity;
}

void upstream_observation::announce_limit(std::uint32_t concurrency_limit)
{
    if (m_limit == 0)
        m_limit = concurrency_limit;
}

double upstream_observation::utilisation(time_point now) const
{
    return answers(now) ? m_utilisation : 0;
}

bool upstream_observation::answers(time_point now) const
{
    return now - m_last_answer <= recent_answer;
}

void upstream_observation::eject(time_point now, duration first, duration longest)
{
    // Shifts beyond this exceed any sensible longest ejection.
    const std::uint32_t doublings = std::min(m_ejections, 20U);
    m_ejected_until = now + std::min(first * (1 << doublings), longest);
    ++m_ejections;
}

} // namespace mulberry::detail
