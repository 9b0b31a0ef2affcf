#include "plugins/admission/shedstatistics.h"

#include <cmath>

namespace mulberry::detail {

namespace {

/// Time constant of the decay in seconds. It is shorter than the adjustment interval of the entry throttle, which must
/// not react to the same shedding twice.
constexpr double time_constant_s = 0.1;
/// Weight of the prior that nothing is shed, in requests, so that one refusal among few requests is not reported as
/// shedding.
constexpr double prior_weight = 3;
/// Smallest share of shed requests that is reported; smaller ones are random variation of the queue.
constexpr double min_reported_shedding = 0.02;

double decay(time_point from, time_point to)
{
    return std::exp(-to_seconds(to - from) / time_constant_s);
}

} // namespace

void shed_statistics::on_decision(time_point now, std::string_view organisation, importance level, bool admitted)
{
    auto it = m_counts.find(organisation);
    if (it == m_counts.end())
        it = m_counts.emplace(std::string(organisation), organisation_counts{{}, now}).first;
    organisation_counts& counts = it->second;
    const double factor = decay(counts.updated_at, now);
    for (decision_count& each : counts.levels) {
        each.decisions *= factor;
        each.admissions *= factor;
    }
    counts.updated_at = now;
    decision_count& own = counts.levels[static_cast<std::size_t>(level)];
    own.decisions += 1;
    own.admissions += admitted ? 1 : 0;
}

void shed_statistics::on_wait(time_point now, duration wait)
{
    const double factor = decay(m_wait_updated_at, now);
    m_wait_sum_us = m_wait_sum_us * factor + static_cast<double>(wait.count());
    m_wait_weight = m_wait_weight * factor + 1;
    m_wait_updated_at = now;
}

void shed_statistics::on_utilisation(time_point now, double utilisation)
{
    const double factor = decay(m_utilisation_updated_at, now);
    m_utilisation = m_utilisation * factor + utilisation * (1 - factor);
    m_utilisation_updated_at = now;
}

load_report shed_statistics::report(time_point now, std::string_view organisation) const
{
    load_report result;
    result.utilisation = static_cast<float>(m_utilisation);
    // The mean decays with its age, so that an old wait is not reported after the queue has become empty.
    const double factor = decay(m_wait_updated_at, now);
    if (m_wait_weight > 0)
        result.queue_delay = duration{static_cast<std::int64_t>(m_wait_sum_us / m_wait_weight * factor)};
    const auto it = m_counts.find(organisation);
    if (it == m_counts.end())
        return result;
    const double age_factor = decay(it->second.updated_at, now);
    for (std::size_t index = all_importances.size(); index-- > 0;) {
        const decision_count& each = it->second.levels[index];
        const double share =
            (each.admissions * age_factor + prior_weight) / (each.decisions * age_factor + prior_weight);
        if (share > 1 - min_reported_shedding)
            continue;
        result.threshold = static_cast<importance>(index);
        result.admitted_share = static_cast<float>(share);
        break;
    }
    return result;
}

} // namespace mulberry::detail
