#include "plugins/admission/shedstatistics.h"

#include <cmath>

namespace mulberry::detail {

namespace {

/// Shorter than the adjustment interval of the entry throttle, which must not react to the same shedding twice.
constexpr double time_constant_s = 0.1;
/// Weight of the assumption that nothing is shed, so that one refusal among few requests is not taken for a trend.
constexpr double prior_weight = 3;
/// Shedding below this part is noise of the queue and not reported.
constexpr double reported_shedding = 0.02;

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
    const double factor = decay(counts.updated, now);
    for (decision_count& each : counts.levels) {
        each.decided *= factor;
        each.admitted *= factor;
    }
    counts.updated = now;
    decision_count& own = counts.levels[static_cast<std::size_t>(level)];
    own.decided += 1;
    own.admitted += admitted ? 1 : 0;
}

void shed_statistics::on_wait(time_point now, duration wait)
{
    const double factor = decay(m_wait_updated, now);
    m_wait_sum_us = m_wait_sum_us * factor + static_cast<double>(wait.count());
    m_wait_weight = m_wait_weight * factor + 1;
    m_wait_updated = now;
}

void shed_statistics::on_use(time_point now, double utilisation)
{
    const double factor = decay(m_use_updated, now);
    m_utilisation = m_utilisation * factor + utilisation * (1 - factor);
    m_use_updated = now;
}

load_report shed_statistics::report(time_point now, std::string_view organisation) const
{
    load_report result;
    result.utilisation = static_cast<float>(m_utilisation);
    // The weight of the sample keeps one old wait from being reported after the queue has emptied.
    const double factor = decay(m_wait_updated, now);
    if (m_wait_weight > 0)
        result.queue_delay = duration{static_cast<std::int64_t>(m_wait_sum_us / m_wait_weight * factor)};
    const auto it = m_counts.find(organisation);
    if (it == m_counts.end())
        return result;
    const double age = decay(it->second.updated, now);
    for (std::size_t index = all_importances.size(); index-- > 0;) {
        const decision_count& each = it->second.levels[index];
        const double share = (each.admitted * age + prior_weight) / (each.decided * age + prior_weight);
        if (share > 1 - reported_shedding)
            continue;
        result.threshold = static_cast<importance>(index);
        result.admitted_share = static_cast<float>(share);
        break;
    }
    return result;
}

} // namespace mulberry::detail
