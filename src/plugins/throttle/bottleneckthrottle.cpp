#include "plugins/throttle/bottleneckthrottle.h"

#include "libs/base/jitter.h"
#include "libs/base/log.h"

#include <algorithm>
#include <cmath>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "throttle";
constexpr duration refusal_time_constant{200'000};
constexpr double demand_time_constant_s = 2;
/// A route whose answers have not named a bottleneck for this long does not lead there any more.
constexpr duration route_memory{10'000'000};
constexpr double failure_time_constant_s = 30;
/// Expected failures that are enough to conclude from fewer that the route does not lead to the bottleneck, and the
/// part of them below which it doesn't.
constexpr double enough_expected = 6;
constexpr double least_failures = 0.4;
/// Longest time that one adjustment covers; nothing is known of a longer silence.
constexpr double longest_step_s = 0.5;
/// A smaller refused part is none.
constexpr double least_refused = 0.01;

std::size_t index_of(request_rank rank)
{
    return static_cast<std::size_t>(rank.level) * all_importances.size() + static_cast<std::size_t>(rank.route);
}

} // namespace

bottleneck_throttle::bottleneck_throttle(bottleneck_throttle_settings settings, timer_service& timers,
                                         random_source& random)
    : m_settings(settings), m_timers(timers), m_random(random)
{
}

bool bottleneck_throttle::route_state::leads_there() const
{
    return expected < enough_expected || failures >= expected * least_failures;
}

bool bottleneck_throttle::bottleneck::is_below(std::string_view route) const
{
    const auto it = routes.find(route);
    return it != routes.end() && it->second.leads_there();
}

void bottleneck_throttle::observe(std::string_view route, bool failed, std::span<const downstream_load> loads)
{
    const time_point now = m_timers.now();
    for (const downstream_load& load : loads) {
        auto it = m_bottlenecks.find(load.service);
        if (it == m_bottlenecks.end()) {
            bottleneck made{decaying_mean(refusal_time_constant), 0, now, {}, {}, now};
            it = m_bottlenecks.emplace(load.service, std::move(made)).first;
        }
        it->second.routes.try_emplace(std::string(route)).first->second.named = now;
    }
    for (auto& [name, current] : m_bottlenecks) {
        const auto state = current.routes.find(route);
        if (state == current.routes.end())
            continue;
        const auto found = std::ranges::find(loads, name, &downstream_load::service);
        const double share = found == loads.end() ? 0 : static_cast<double>(found->refused_share);
        note_failure(state->second, failed, share);
        if (!state->second.leads_there())
            continue;
        current.refusals.add(now, share);
        adjust(name, current);
    }
    std::erase_if(m_bottlenecks, [](const auto& entry) { return entry.second.routes.empty(); });
}

void bottleneck_throttle::note_failure(route_state& state, bool failed, double refused_share) const
{
    const time_point now = m_timers.now();
    const double factor = std::exp(-to_seconds(now - state.updated) / failure_time_constant_s);
    state.failures = state.failures * factor + (failed ? 1 : 0);
    state.expected = state.expected * factor + refused_share;
    state.updated = now;
}

void bottleneck_throttle::adjust(std::string_view name, bottleneck& current)
{
    const time_point now = m_timers.now();
    const double elapsed_s = std::min(to_seconds(now - current.adjusted), longest_step_s);
    current.adjusted = now;
    const double before = current.refused_part;
    const double excess = current.refusals.mean(now) - m_settings.wanted_refusals;
    const double change = excess > 0 ? excess * m_settings.growth_per_second : -m_settings.fall_per_second;
    current.refused_part = std::clamp(before + change * elapsed_s, 0.0, m_settings.most_refused);
    if (before < least_refused && current.refused_part >= least_refused)
        log_info(log_part, "Refuses the least important requests that lead to {}, which lacks room.", name);
    if (before > 0 && current.refused_part == 0)
        log_info(log_part, "Admits all requests that lead to {} again.", name);
    std::erase_if(current.routes, [now](const auto& entry) { return now - entry.second.named > route_memory; });
}

void bottleneck_throttle::note_demand(bottleneck& current, request_rank rank) const
{
    const time_point now = m_timers.now();
    const double factor = std::exp(-to_seconds(now - current.demand_updated) / demand_time_constant_s);
    for (double& each : current.demand)
        each *= factor;
    current.demand[index_of(rank)] += 1;
    current.demand_updated = now;
}

std::optional<refusal> bottleneck_throttle::check(std::string_view route, request_rank rank)
{
    for (auto& [name, current] : m_bottlenecks) {
        if (current.is_below(route))
            note_demand(current, rank);
    }
    const double part = admitted_part(route, rank);
    if (part >= 1 || m_random.unit() < part)
        return std::nullopt;
    return not_run(refusal_reason::entry_throttled, jittered(m_settings.retry_after, m_random));
}

double bottleneck_throttle::admitted_part(std::string_view route, request_rank rank)
{
    double part = 1;
    for (auto& [name, current] : m_bottlenecks) {
        if (!current.is_below(route))
            continue;
        adjust(name, current);
        part = std::min(part, admitted_part(current, rank));
    }
    return part;
}

double bottleneck_throttle::admitted_part(const bottleneck& current, request_rank rank) const
{
    if (current.refused_part < least_refused)
        return 1;
    double total = 0;
    for (const double each : current.demand)
        total += each;
    double left = current.refused_part * total;
    const std::size_t own = index_of(rank);
    for (std::size_t index = 0; index < own; ++index)
        left -= std::min(left, current.demand[index] * (1 - m_settings.least_admitted));
    const double demand = current.demand[own];
    if (demand <= 0)
        return 1;
    return 1 - std::min(left / demand, 1 - m_settings.least_admitted);
}

} // namespace mulberry
