#include "plugins/throttle/entrythrottle.h"

#include "libs/base/jitter.h"

#include <algorithm>
#include <cmath>

namespace mulberry {

namespace {

/// An admitted share from this value on is treated as no shedding, because smaller reported shedding is random
/// variation.
constexpr double no_shedding_share = 0.92;
/// Smallest factor by which one adjustment reduces the admitted share, because a report may describe a short peak.
constexpr double min_reduction_factor = 0.5;

} // namespace

entry_throttle::entry_throttle(throttle_settings settings, timer_service& timers, random_source& random)
    : m_settings(settings), m_timers(timers), m_random(random)
{
}

void entry_throttle::observe(std::string_view service, std::string_view upstream, std::string_view organisation,
                             const load_report& report)
{
    state& current = m_states[{std::string(service), std::string(organisation)}];
    adjust(service, current);
    auto it = current.reports.find(upstream);
    if (it == current.reports.end())
        it = current.reports.emplace(std::string(upstream), upstream_view{}).first;
    it->second.report = report;
    ++it->second.responses;
    service_utilisation& load = m_utilisations[std::string(service)];
    close_interval(load);
    load.utilisation_sum += static_cast<double>(report.utilisation);
    load.responses += 1;
}

std::optional<refusal> entry_throttle::check(std::string_view service, importance level, std::string_view organisation)
{
    const double admitted_share = current_admitted_share(service, level, organisation);
    if (admitted_share >= 1 || m_random.uniform_real() < admitted_share)
        return std::nullopt;
    return not_run_refusal(refusal_reason::entry_throttled, with_jitter(m_settings.retry_after, m_random));
}

double entry_throttle::current_admitted_share(std::string_view service, importance level, std::string_view organisation)
{
    const auto it = m_states.find({std::string(service), std::string(organisation)});
    if (it == m_states.end())
        return 1;
    adjust(service, it->second);
    return it->second.admitted_shares[static_cast<std::size_t>(level)];
}

void entry_throttle::close_interval(service_utilisation& load) const
{
    const time_point now = m_timers.now();
    if (now - load.interval_start < m_settings.interval)
        return;
    // The load of an interval that ended long ago does not indicate the current load.
    const bool recent = now - load.interval_start < 2 * m_settings.interval;
    load = {0, 0, recent && load.responses > 0 ? load.utilisation_sum / load.responses : 0, now};
}

double entry_throttle::growth_factor_of(std::string_view service)
{
    const auto it = m_utilisations.find(service);
    if (it == m_utilisations.end())
        return m_settings.growth_factor_without_reports;
    close_interval(it->second);
    if (it->second.utilisation == 0)
        return m_settings.growth_factor_without_reports;
    return std::clamp(m_settings.target_utilisation / it->second.utilisation, m_settings.min_growth_factor,
                      m_settings.max_growth_factor);
}

void entry_throttle::adjust(std::string_view service, state& current)
{
    const time_point now = m_timers.now();
    if (now - current.adjusted_at < m_settings.interval)
        return;
    const double intervals = std::floor(to_seconds(now - current.adjusted_at) / to_seconds(m_settings.interval));
    current.adjusted_at = now;
    const double growth_factor = growth_factor_of(service);
    double responses = 0;
    for (const auto& [name, view] : current.reports)
        responses += view.responses;
    for (const importance level : all_importances) {
        double share = 0;
        for (const auto& [name, view] : current.reports)
            share += view.responses * static_cast<double>(admitted_share_of(view.report, level));
        const bool shed = share < no_shedding_share * responses;
        double& admitted_share = current.admitted_shares[static_cast<std::size_t>(level)];
        // The reports describe the first of the intervals; the load in the others is unknown.
        admitted_share *= shed ? std::clamp(share / responses * m_settings.headroom, min_reduction_factor, 1.0) *
                                     std::pow(growth_factor, intervals - 1)
                               : std::pow(growth_factor, intervals);
        admitted_share = std::clamp(
            admitted_share,
            level >= importance::high ? m_settings.min_important_admitted_share : m_settings.min_admitted_share, 1.0);
    }
    current.reports.clear();
}

} // namespace mulberry
