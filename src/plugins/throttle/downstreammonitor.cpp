#include "plugins/throttle/downstreammonitor.h"

#include <algorithm>

namespace mulberry {

namespace {

/// Time constant of the means. It covers some tens of calls and is short compared with the time in which the entries
/// adjust the share that they admit.
constexpr duration time_constant{300'000};
/// Weight of the prior that nothing is refused, in calls, so that one refusal among few calls is not reported as
/// overload.
constexpr double prior_weight = 3;
/// Smallest refused share that is reported.
constexpr double min_reported_share = 0.005;
/// Smallest refused share that is stored.
constexpr double min_stored_share = min_reported_share / 10;
/// Factor applied to a reported share at each hop. It is below 1, so that a report decays instead of circulating
/// between services that call each other.
constexpr double forwarding_factor = 0.95;

} // namespace

downstream_monitor::called_service& downstream_monitor::find(std::string_view service)
{
    auto it = m_called.find(service);
    if (it == m_called.end())
        it = m_called.emplace(std::string(service), called_service{decaying_mean(time_constant), {}}).first;
    return it->second;
}

void downstream_monitor::on_call_response(std::string_view service, std::span<const downstream_load> loads)
{
    const time_point now = m_timers.now();
    called_service& called = find(service);
    called.refused_calls.add(now, 0);
    for (const downstream_load& load : loads)
        called.downstream_refusals.try_emplace(load.service, time_constant);
    for (auto& [name, mean] : called.downstream_refusals) {
        const auto found = std::ranges::find(loads, name, &downstream_load::service);
        mean.add(now, found == loads.end() ? 0 : static_cast<double>(found->refused_share) * forwarding_factor);
    }
    std::erase_if(called.downstream_refusals,
                  [now](const auto& entry) { return entry.second.mean(now) < min_stored_share; });
}

void downstream_monitor::on_refused(std::string_view service)
{
    find(service).refused_calls.add(m_timers.now(), 1);
}

std::vector<downstream_load> downstream_monitor::report() const
{
    const time_point now = m_timers.now();
    std::map<std::string_view, double> shares;
    const auto merge = [&shares](std::string_view service, double share) {
        double& merged_share = shares[service];
        merged_share = std::max(merged_share, share);
    };
    for (const auto& [service, called] : m_called) {
        merge(service, called.refused_calls.mean(now, prior_weight));
        for (const auto& [name, mean] : called.downstream_refusals)
            merge(name, mean.mean(now, prior_weight));
    }
    std::vector<downstream_load> loads;
    for (const auto& [service, share] : shares) {
        if (share >= min_reported_share)
            loads.push_back({std::string(service), static_cast<float>(share)});
    }
    std::ranges::sort(loads, std::ranges::greater{}, &downstream_load::refused_share);
    if (loads.size() > max_downstream_loads)
        loads.resize(max_downstream_loads);
    return loads;
}

} // namespace mulberry
