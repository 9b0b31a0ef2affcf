#include "plugins/throttle/entrythrottle.h"

#include "libs/base/jitter.h"

#include <algorithm>
#include <cmath>

namespace mulberry {

namespace {

/// Reports of less shedding than this are noise.
constexpr double unshed_share = 0.92;
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
    adjust(service, current);
    auto it = current.reports.find(upstream);
    if (it == current.reports.end())
        it = current.reports.emplace(std::string(upstream), upstream_view{}).first;
    it->second.report = report;
    ++it->second.answers;
    service_use& use = m_uses[std::string(service)];
    close_interval(use);
    use.sum += static_cast<double>(report.utilisation);
    use.answers += 1;
}

std::optional<refusal> entry_throttle::check(std::string_view service, importance level, std::string_view organisation)
{
    const double part = admitted_part(service, level, organisation);
    if (part >= 1 || m_random.unit() < part)
        return std::nullopt;
    return not_run(refusal_reason::entry_throttled, jittered(m_settings.retry_after, m_random));
}

double entry_throttle::admitted_part(std::string_view service, importance level, std::string_view organisation)
{
    const auto it = m_states.find({std::string(service), std::string(organisation)});
    if (it == m_states.end())
        return 1;
    adjust(service, it->second);
    return it->second.part[static_cast<std::size_t>(level)];
}

void entry_throttle::close_interval(service_use& use) const
{
    const time_point now = m_timers.now();
    if (now - use.started < m_settings.interval)
        return;
    // An interval that ended long ago says nothing about the load of now.
    const bool recent = now - use.started < 2 * m_settings.interval;
    use = {0, 0, recent && use.answers > 0 ? use.sum / use.answers : 0, now};
}

double entry_throttle::growth_of(std::string_view service)
{
    const auto it = m_uses.find(service);
    if (it == m_uses.end())
        return m_settings.unknown_growth;
    close_interval(it->second);
    if (it->second.utilisation == 0)
        return m_settings.unknown_growth;
    return std::clamp(m_settings.target_utilisation / it->second.utilisation, m_settings.slowest_growth,
                      m_settings.fastest_growth);
}

void entry_throttle::adjust(std::string_view service, state& current)
{
    const time_point now = m_timers.now();
    if (now - current.adjusted < m_settings.interval)
        return;
    const double intervals = std::floor(to_seconds(now - current.adjusted) / to_seconds(m_settings.interval));
    current.adjusted = now;
    const double growth = growth_of(service);
    double answers = 0;
    for (const auto& [name, view] : current.reports)
        answers += view.answers;
    for (const importance level : all_importances) {
        double share = 0;
        for (const auto& [name, view] : current.reports)
            share += view.answers * static_cast<double>(admitted_share_of(view.report, level));
        const bool shed = share < unshed_share * answers;
        double& part = current.part[static_cast<std::size_t>(level)];
        // The reports describe the first of the intervals; nothing is known of the others.
        part *= shed ? std::clamp(share / answers * m_settings.headroom, steepest_fall, 1.0) *
                           std::pow(growth, intervals - 1)
                     : std::pow(growth, intervals);
        part = std::clamp(part, level >= importance::high ? m_settings.important_floor : m_settings.floor, 1.0);
    }
    current.reports.clear();
}

} // namespace mulberry
