#include "plugins/throttle/bottleneckthrottle.h"

#include "libs/base/jitter.h"
#include "libs/base/log.h"

#include <algorithm>
#include <cmath>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "throttle";
/// Time constant of the mean share of refused calls.
constexpr duration refusal_time_constant{200'000};
constexpr double demand_time_constant_s = 2;
/// A route is no longer considered to lead to a bottleneck that its responses have not reported for this time.
constexpr duration route_expiry{10'000'000};
constexpr double failure_time_constant_s = 30;
/// A route is considered not to lead to the bottleneck if at least this number of failures was expected, and the number
/// that occurred is below this share of it.
constexpr double min_expected_failures = 6;
constexpr double min_failure_share = 0.4;
/// Maximum time in seconds that one adjustment covers; the load during a longer time without responses is unknown.
constexpr double max_step_s = 0.5;
/// A smaller refused share is treated as zero.
constexpr double min_refused_share = 0.01;

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

bool bottleneck_throttle::route_state::leads_to_bottleneck() const
{
    return expected_failures < min_expected_failures || failures >= expected_failures * min_failure_share;
}

bool bottleneck_throttle::bottleneck::is_downstream_of(std::string_view route) const
{
    const auto it = routes.find(route);
    return it != routes.end() && it->second.leads_to_bottleneck();
}

void bottleneck_throttle::observe(std::string_view route, bool failed, std::span<const downstream_load> loads)
{
    const time_point now = m_timers.now();
    for (const downstream_load& load : loads) {
        auto it = m_bottlenecks.find(load.service);
        if (it == m_bottlenecks.end()) {
            bottleneck added{decaying_mean(refusal_time_constant), 0, now, {}, {}, now};
            it = m_bottlenecks.emplace(load.service, std::move(added)).first;
        }
        it->second.routes.try_emplace(std::string(route)).first->second.last_reported_at = now;
    }
    for (auto& [name, current] : m_bottlenecks) {
        const auto state = current.routes.find(route);
        if (state == current.routes.end())
            continue;
        const auto found = std::ranges::find(loads, name, &downstream_load::service);
        const double reported_share = found == loads.end() ? 0 : static_cast<double>(found->refused_share);
        record_failure(state->second, failed, reported_share);
        if (!state->second.leads_to_bottleneck())
            continue;
        current.refused_calls.add(now, reported_share);
        adjust(name, current);
    }
    std::erase_if(m_bottlenecks, [](const auto& entry) { return entry.second.routes.empty(); });
}

void bottleneck_throttle::record_failure(route_state& state, bool failed, double refused_share) const
{
    const time_point now = m_timers.now();
    const double factor = std::exp(-to_seconds(now - state.updated_at) / failure_time_constant_s);
    state.failures = state.failures * factor + (failed ? 1 : 0);
    state.expected_failures = state.expected_failures * factor + refused_share;
    state.updated_at = now;
}

void bottleneck_throttle::adjust(std::string_view name, bottleneck& current)
{
    const time_point now = m_timers.now();
    const double elapsed_s = std::min(to_seconds(now - current.adjusted_at), max_step_s);
    current.adjusted_at = now;
    const double previous_share = current.refused_demand_share;
    const double excess = current.refused_calls.mean(now) - m_settings.target_refused_share;
    const double change = excess > 0 ? excess * m_settings.increase_per_second : -m_settings.decrease_per_second;
    current.refused_demand_share = std::clamp(previous_share + change * elapsed_s, 0.0, m_settings.max_refused_share);
    if (previous_share < min_refused_share && current.refused_demand_share >= min_refused_share)
        log_info(log_part, "Refusing the least important requests that lead to {}, which is overloaded.", name);
    if (previous_share > 0 && current.refused_demand_share == 0)
        log_info(log_part, "Admitting all requests that lead to {} again.", name);
    std::erase_if(current.routes,
                  [now](const auto& entry) { return now - entry.second.last_reported_at > route_expiry; });
}

void bottleneck_throttle::record_demand(bottleneck& current, request_rank rank) const
{
    const time_point now = m_timers.now();
    const double factor = std::exp(-to_seconds(now - current.demand_updated_at) / demand_time_constant_s);
    for (double& each : current.demand)
        each *= factor;
    current.demand[index_of(rank)] += 1;
    current.demand_updated_at = now;
}

std::optional<refusal> bottleneck_throttle::check(std::string_view route, request_rank rank)
{
    for (auto& [name, current] : m_bottlenecks) {
        if (current.is_downstream_of(route))
            record_demand(current, rank);
    }
    const double share = current_admitted_share(route, rank);
    if (share >= 1 || m_random.uniform_real() < share)
        return std::nullopt;
    return not_run_refusal(refusal_reason::entry_throttled, with_jitter(m_settings.retry_after, m_random));
}

double bottleneck_throttle::current_admitted_share(std::string_view route, request_rank rank)
{
    double share = 1;
    for (auto& [name, current] : m_bottlenecks) {
        if (!current.is_downstream_of(route))
            continue;
        adjust(name, current);
        share = std::min(share, current_admitted_share(current, rank));
    }
    return share;
}

double bottleneck_throttle::current_admitted_share(const bottleneck& current, request_rank rank) const
{
    if (current.refused_demand_share < min_refused_share)
        return 1;
    double total = 0;
    for (const double each : current.demand)
        total += each;
    double remaining_refusals = current.refused_demand_share * total;
    const std::size_t own = index_of(rank);
    for (std::size_t index = 0; index < own; ++index)
        remaining_refusals -= std::min(remaining_refusals, current.demand[index] * (1 - m_settings.min_admitted_share));
    const double demand = current.demand[own];
    if (demand <= 0)
        return 1;
    return 1 - std::min(remaining_refusals / demand, 1 - m_settings.min_admitted_share);
}

} // namespace mulberry
