#include "plugins/throttle/downstreammonitor.h"

#include <algorithm>

namespace mulberry {

namespace {

/// Long enough for some tens of calls, short against the time in which the entries adjust what they admit.
constexpr duration time_constant{300'000};
/// Weight of the assumption that nothing is refused, so that one refusal among few calls is not taken for a trend.
constexpr double prior_weight = 3;
/// Smaller parts are not reported.
constexpr double least_reported = 0.005;
constexpr double least_kept = least_reported / 10;
/// What is passed on per hop. Below 1, so that a report cannot circle in services that call each other.
constexpr double passed_on = 0.95;

} // namespace

downstream_monitor::called_service& downstream_monitor::find(std::string_view service)
{
    auto it = m_called.find(service);
    if (it == m_called.end())
        it = m_called.emplace(std::string(service), called_service{decaying_mean(time_constant), {}}).first;
    return it->second;
}

void downstream_monitor::on_answered(std::string_view service, std::span<const downstream_load> loads)
{
    const time_point now = m_timers.now();
    called_service& called = find(service);
    called.refused.add(now, 0);
    for (const downstream_load& load : loads)
        called.reported.try_emplace(load.service, time_constant);
    for (auto& [name, mean] : called.reported) {
        const auto found = std::ranges::find(loads, name, &downstream_load::service);
        mean.add(now, found == loads.end() ? 0 : static_cast<double>(found->refused_share) * passed_on);
    }
    std::erase_if(called.reported, [now](const auto& entry) { return entry.second.mean(now) < least_kept; });
}

void downstream_monitor::on_refused(std::string_view service)
{
    find(service).refused.add(m_timers.now(), 1);
}

std::vector<downstream_load> downstream_monitor::report() const
{
    const time_point now = m_timers.now();
    std::map<std::string_view, double> shares;
    const auto join = [&shares](std::string_view service, double share) {
        double& known = shares[service];
        known = std::max(known, share);
    };
    for (const auto& [service, called] : m_called) {
        join(service, called.refused.mean(now, prior_weight));
        for (const auto& [name, mean] : called.reported)
            join(name, mean.mean(now, prior_weight));
    }
    std::vector<downstream_load> loads;
    for (const auto& [service, share] : shares) {
        if (share >= least_reported)
            loads.push_back({std::string(service), static_cast<float>(share)});
    }
    std::ranges::sort(loads, std::ranges::greater{}, &downstream_load::refused_share);
    if (loads.size() > most_downstream_loads)
        loads.resize(most_downstream_loads);
    return loads;
}

} // namespace mulberry
