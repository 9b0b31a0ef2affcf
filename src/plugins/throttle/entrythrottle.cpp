#include "plugins/throttle/entrythrottle.h"

#include <algorithm>
#include <cmath>

namespace mulberry {

namespace {

/// Reports of less shedding than this are noise.
constexpr double unshed_share = 0.98;
/// Smallest factor of one adjustment, because a report may describe a short peak.
constexpr double steepest_fall = 0.5;

} // namespace

entry_throttle::entry_throttle(throttle_settings settings, timer_service& timers, random_source& random)
    : m_settings(settings), m_timers(timers), m_random(random)
{
}

void entry_throttle::observe(std::string_view service, std::string_view upstream, std::string_view organisation,
                             const load_report& report)
{
    state& current = m_states[{std::string(service), std::string(organisation)}];
    adjust(current);
    auto it = current.reports.find(upstream);
    if (it == current.reports.end())
        it = current.reports.emplace(std::string(upstream), upstream_view{}).first;
    it->second.report = report;
    ++it->second.answers;
}

std::optional<refusal> entry_throttle::check(std::string_view service, importance level, std::string_view organisation)
{
    const double part = admitted_part(service, level, organisation);
    if (part >= 1 || m_random.unit() < part)
        return std::nullopt;
    const double jitter = 0.5 + m_random.unit();
    return not_run(refusal_reason::entry_throttled, from_seconds(to_seconds(m_settings.retry_after) * jitter));
}

double entry_throttle::admitted_part(std::string_view service, importance level, std::string_view organisation)
{
    const auto it = m_states.find({std::string(service), std::string(organisation)});
    if (it == m_states.end())
        return 1;
    adjust(it->second);
    return it->second.part[static_cast<std::size_t>(level)];
}

void entry_throttle::adjust(state& current) const
{
    const time_point now = m_timers.now();
    if (now - current.adjusted < m_settings.interval)
        return;
    const double intervals = std::floor(to_seconds(now - current.adjusted) / to_seconds(m_settings.interval));
    current.adjusted = now;
    double answers = 0;
    double utilisation = 0;
    for (const auto& [name, view] : current.reports) {
        answers += view.answers;
        utilisation += view.answers * static_cast<double>(view.report.utilisation);
    }
    double growth = std::pow(m_settings.slowest_growth, intervals);
    if (answers > 0) {
        growth = std::clamp(m_settings.target_utilisation * answers / std::max(utilisation, 1e-3),
                            m_settings.slowest_growth, m_settings.fastest_growth);
    }
    for (const importance level : all_importances) {
        double share = 0;
        for (const auto& [name, view] : current.reports)
            share += view.answers * static_cast<double>(admitted_share_of(view.report, level));
        const bool shed = share < unshed_share * answers;
        double& part = current.part[static_cast<std::size_t>(level)];
        part *= shed ? std::clamp(share / answers * m_settings.headroom, steepest_fall, 1.0) : growth;
        part = std::clamp(part, m_settings.floor, 1.0);
    }
    current.reports.clear();
}

} // namespace mulberry
