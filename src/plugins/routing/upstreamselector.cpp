#include "plugins/routing/upstreamselector.h"

#include "libs/base/log.h"
#include "plugins/routing/bytebudget.h"
#include "plugins/routing/upstreamobservation.h"
#include "plugins/routing/upstreamsubset.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <utility>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "routing";
/// Minimum fraction of its normal share of calls that an upstream gets at the beginning of its ramp. Without any calls
/// it would stay cold.
constexpr double min_ramp_share = 0.1;
/// Share of the calls that go to another region, per relative reduction of the latency. If all calls moved at once, the
/// upstreams there would be overloaded before their latency shows it.
constexpr double remote_share_per_latency_gain = 2;
/// Time constant of a service's typical latency. It must change more slowly than the latency observed of one upstream
/// that has become slow.
constexpr double typical_time_constant_s = 10;
/// Bytes between failure domains are billed. A call therefore stays in the own domain while the upstream there uses
/// less than this fraction of its slots and its latency is less than this multiple of that in the other domain.
constexpr double own_domain_utilisation_limit = 0.7;
constexpr double own_domain_latency_ratio_limit = 2;
/// Beyond these limits, a call goes to another domain if the cost of the upstream there, multiplied by this factor, is
/// still less than that of the upstream in the own domain.
constexpr double own_domain_cost_factor = 1.25;

} // namespace

class upstream_selector::implementation {
public:
    implementation(routing_settings settings, std::string own_name, node_location own_location, timer_service& timers,
                   random_source& random)
        : m_settings(settings), m_own_name(std::move(own_name)), m_own_location(std::move(own_location)),
          m_timers(timers), m_random(random), m_budget(timers)
    {
    }

    void update(std::span<const upstream_info> upstreams);
    std::optional<std::string> choose(std::string_view service, const routing_context& context);
    void on_sent(std::string_view name, std::uint64_t request_bytes);
    void on_response(std::string_view name, duration latency, const load_report& report, std::uint64_t response_bytes);
    void on_refused(std::string_view name);
    void on_failed(std::string_view name);
    void on_abandoned(std::string_view name);
    std::vector<std::string> subset(std::string_view service) const;

private:
    struct upstream {
        std::uint64_t incarnation = 0;
        std::string service;
        detail::network_distance distance = detail::network_distance::same_domain;
        time_point serving_since;
        detail::upstream_observation observation;
    };
    using upstream_map = std::map<std::string, upstream, std::less<>>;
    using candidate = upstream_map::value_type*;
    using candidate_list = std::vector<candidate>;

    struct service_state {
        candidate_list subset;
        double typical_latency_us = 0;
        time_point typical_updated_at;
    };

    bool is_less_loaded(const upstream_map::value_type& far, const upstream_map::value_type& near,
                        const detail::typical_upstream& typical);
    bool gain_justifies_distance(duration near, duration far, duration gain);
    detail::typical_upstream typical_upstream_of(std::string_view service) const;
    void update_typical_latency(service_state& state, duration latency);
    void set_link_rate(std::span<const upstream_info> upstreams);
    candidate_list usable_candidates(std::string_view service, const routing_context& context);
    void remove_ejected(candidate_list& candidates) const;
    void remove_ramping(candidate_list& candidates);
    candidate better_of_two(std::span<const candidate> tier, const detail::typical_upstream& typical);
    bool is_ejectable(const upstream& target) const;
    upstream* find(std::string_view name);

    routing_settings m_settings;
    std::string m_own_name;
    node_location m_own_location;
    timer_service& m_timers;
    random_source& m_random;
    detail::byte_budget m_budget;
    upstream_map m_upstreams;
    std::map<std::string, service_state, std::less<>> m_services;
};

void upstream_selector::implementation::update(std::span<const upstream_info> upstreams)
{
    upstream_map next;
    std::map<std::string, std::vector<detail::subset_candidate>, std::less<>> candidates;
    for (const upstream_info& info : upstreams) {
        if (info.state != upstream_state::serving && info.state != upstream_state::leaving)
            continue;
        const auto existing = m_upstreams.find(info.name);
        upstream updated_upstream;
        if (existing != m_upstreams.end() && existing->second.incarnation == info.incarnation)
            updated_upstream = existing->second;
        updated_upstream.incarnation = info.incarnation;
        updated_upstream.service = info.service;
        updated_upstream.distance = detail::distance_between(m_own_location, info.location);
        updated_upstream.serving_since = info.serving_since;
        updated_upstream.observation.set_announced_limit(info.concurrency_limit);
        if (info.state == upstream_state::serving)
            candidates[info.service].push_back({info.name, updated_upstream.distance});
        next.insert_or_assign(info.name, std::move(updated_upstream));
    }
    // Removes upstreams that are no longer listed, with their calls in flight.
    m_upstreams = std::move(next);
    for (auto& [service, state] : m_services)
        state.subset.clear();
    for (auto& [service, list] : candidates) {
        candidate_list& subset = m_services[service].subset;
        for (const auto& each : detail::choose_subset(m_own_name, std::move(list), m_settings.subset_size))
            subset.push_back(&*m_upstreams.find(each.name));
    }
    set_link_rate(upstreams);
}

void upstream_selector::implementation::set_link_rate(std::span<const upstream_info> upstreams)
{
    const auto nodes_in_region = std::ranges::count_if(upstreams, [this](const upstream_info& info) {
        return info.state != upstream_state::dead && info.location.region == m_own_location.region;
    });
    m_budget.set_rate(m_settings.link_bytes_per_second * (1 - m_settings.link_control_share) /
                      static_cast<double>(std::max<std::ptrdiff_t>(nodes_in_region, 1)));
}

std::optional<std::string> upstream_selector::implementation::choose(std::string_view service,
                                                                     const routing_context& context)
{
    const time_point now = m_timers.now();
    const detail::typical_upstream typical = this->typical_upstream_of(service);
    const candidate_list candidates = usable_candidates(service, context);
    const std::array min_gains{duration{0}, m_settings.cross_domain_latency, m_settings.min_cross_region_gain};
    candidate best = nullptr;
    duration best_latency{0};
    for (const auto distance : {detail::network_distance::same_domain, detail::network_distance::same_region,
                                detail::network_distance::other_region}) {
        if (distance == detail::network_distance::other_region && !m_budget.allows(context.request_bytes))
            break;
        candidate_list tier;
        std::ranges::copy_if(candidates, std::back_inserter(tier),
                             [distance](candidate each) { return each->second.distance == distance; });
        if (tier.empty())
            continue;
        const candidate chosen = better_of_two(tier, typical);
        const duration latency = chosen->second.observation.expected_latency(now, typical.latency);
        const duration gain = min_gains[static_cast<std::size_t>(distance)];
        const bool is_better = distance == detail::network_distance::same_region
                                   ? best != nullptr && is_less_loaded(*chosen, *best, typical)
                                   : best != nullptr && gain_justifies_distance(best_latency, latency, gain);
        if (best != nullptr && !is_better)
            continue;
        best = chosen;
        best_latency = latency;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->first;
}

bool upstream_selector::implementation::is_less_loaded(const upstream_map::value_type& far,
                                                       const upstream_map::value_type& near,
                                                       const detail::typical_upstream& typical)
{
    const time_point now = m_timers.now();
    const duration near_latency = near.second.observation.expected_latency(now, typical.latency);
    const duration far_latency =
        far.second.observation.expected_latency(now, typical.latency) + m_settings.cross_domain_latency;
    if (near.second.observation.utilisation(now) < own_domain_utilisation_limit &&
        to_seconds(near_latency) < to_seconds(far_latency) * own_domain_latency_ratio_limit)
        return false;
    const detail::typical_upstream typical_far{typical.latency + m_settings.cross_domain_latency,
                                               typical.concurrency_limit};
    return far.second.observation.cost(now, typical_far) * own_domain_cost_factor <
           near.second.observation.cost(now, typical);
}

bool upstream_selector::implementation::gain_justifies_distance(duration near, duration far, duration gain)
{
    const double excess = to_seconds(near - far - gain);
    return excess > 0 && m_random.uniform_real() < remote_share_per_latency_gain * excess / to_seconds(near);
}

detail::typical_upstream upstream_selector::implementation::typical_upstream_of(std::string_view service) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return {};
    double sum = 0;
    double limit_count = 0;
    for (const candidate each : it->second.subset) {
        const std::uint32_t limit = each->second.observation.concurrency_limit();
        sum += limit;
        limit_count += limit > 0 ? 1 : 0;
    }
    return {duration{static_cast<std::int64_t>(it->second.typical_latency_us)},
            limit_count > 0 ? sum / limit_count : 0};
}

upstream_selector::implementation::candidate_list
upstream_selector::implementation::usable_candidates(std::string_view service, const routing_context& context)
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return {};
    candidate_list candidates;
    std::ranges::copy_if(it->second.subset, std::back_inserter(candidates), [&](candidate each) {
        return std::ranges::find(context.excluded_upstreams, each->first) == context.excluded_upstreams.end();
    });
    remove_ejected(candidates);
    remove_ramping(candidates);
    return candidates;
}

void upstream_selector::implementation::remove_ejected(candidate_list& candidates) const
{
    const auto ejected = [now = m_timers.now()](candidate each) { return each->second.observation.is_ejected(now); };
    // The link to the other region may not have the capacity for all calls, so its upstreams don't replace those of the
    // own region: if all of these are ejected, they remain candidates.
    const auto is_near = [](candidate each) { return each->second.distance != detail::network_distance::other_region; };
    const bool any_near_usable =
        std::ranges::any_of(candidates, [&](candidate each) { return is_near(each) && !ejected(each); });
    const bool any_usable = std::ranges::any_of(candidates, std::not_fn(ejected));
    std::erase_if(candidates,
                  [&](candidate each) { return ejected(each) && (is_near(each) ? any_near_usable : any_usable); });
}

void upstream_selector::implementation::remove_ramping(candidate_list& candidates)
{
    const time_point now = m_timers.now();
    candidate_list ready;
    for (const candidate each : candidates) {
        const double progress = to_seconds(now - each->second.serving_since) / to_seconds(m_settings.ramp_duration);
        if (progress >= 1 || m_random.uniform_real() < std::max(progress, min_ramp_share))
            ready.push_back(each);
    }
    if (!ready.empty())
        candidates = std::move(ready);
}

upstream_selector::implementation::candidate
upstream_selector::implementation::better_of_two(std::span<const candidate> tier,
                                                 const detail::typical_upstream& typical)
{
    const std::size_t first = m_random.uniform(tier.size());
    if (tier.size() == 1)
        return tier[first];
    const std::size_t second = (first + 1 + m_random.uniform(tier.size() - 1)) % tier.size();
    const time_point now = m_timers.now();
    return tier[first]->second.observation.cost(now, typical) <= tier[second]->second.observation.cost(now, typical)
               ? tier[first]
               : tier[second];
}

void upstream_selector::implementation::on_sent(std::string_view name, std::uint64_t request_bytes)
{
    upstream* target = find(name);
    if (target == nullptr)
        return;
    target->observation.on_sent(m_timers.now());
    if (target->distance == detail::network_distance::other_region)
        m_budget.consume(request_bytes);
}

void upstream_selector::implementation::on_response(std::string_view name, duration latency, const load_report& report,
                                                    std::uint64_t response_bytes)
{
    upstream* target = find(name);
    if (target == nullptr)
        return;
    target->observation.on_response(m_timers.now(), latency, report);
    update_typical_latency(m_services[target->service], latency);
    if (target->distance == detail::network_distance::other_region)
        m_budget.consume(response_bytes);
}

void upstream_selector::implementation::update_typical_latency(service_state& state, duration latency)
{
    const time_point now = m_timers.now();
    const double sample_us = static_cast<double>(latency.count());
    const double decay = std::exp(-to_seconds(now - state.typical_updated_at) / typical_time_constant_s);
    state.typical_latency_us =
        state.typical_latency_us == 0 ? sample_us : sample_us + (state.typical_latency_us - sample_us) * decay;
    state.typical_updated_at = now;
}

void upstream_selector::implementation::on_refused(std::string_view name)
{
    if (upstream* target = find(name))
        target->observation.on_refused(m_timers.now());
}

void upstream_selector::implementation::on_failed(std::string_view name)
{
    upstream* target = find(name);
    if (target == nullptr)
        return;
    const time_point now = m_timers.now();
    const std::uint32_t failures = target->observation.on_failed(now);
    if (failures < m_settings.ejection_failures || target->observation.is_ejected(now) || !is_ejectable(*target))
        return;
    target->observation.eject(now, m_settings.initial_ejection, m_settings.max_ejection);
    log_info(log_part, "Ejected upstream {} after {} consecutive failures.", name, failures);
}

void upstream_selector::implementation::on_abandoned(std::string_view name)
{
    if (upstream* target = find(name))
        target->observation.on_abandoned();
}

/// An upstream may be ejected only if at least half of the other upstreams of the subset respond and at most half of
/// the subset is ejected. When most of them fail, the cause lies elsewhere, and ejections would overload the remaining
/// ones.
bool upstream_selector::implementation::is_ejectable(const upstream& target) const
{
    const auto it = m_services.find(target.service);
    if (it == m_services.end())
        return false;
    const time_point now = m_timers.now();
    std::size_t ejected = 0;
    std::size_t responding = 0;
    for (const candidate each : it->second.subset) {
        const auto& observation = each->second.observation;
        ejected += observation.is_ejected(now) ? 1 : 0;
        responding +=
            &each->second != &target && !observation.is_ejected(now) && observation.has_recent_response(now) ? 1 : 0;
    }
    const std::size_t size = it->second.subset.size();
    return (ejected + 1) * 2 <= size && responding * 2 + 1 >= size;
}

upstream_selector::implementation::upstream* upstream_selector::implementation::find(std::string_view name)
{
    const auto it = m_upstreams.find(name);
    return it == m_upstreams.end() ? nullptr : &it->second;
}

std::vector<std::string> upstream_selector::implementation::subset(std::string_view service) const
{
    std::vector<std::string> names;
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return names;
    std::ranges::transform(it->second.subset, std::back_inserter(names), [](candidate each) { return each->first; });
    return names;
}

upstream_selector::upstream_selector(routing_settings settings, std::string own_name, node_location own_location,
                                     timer_service& timers, random_source& random)
    : m_implementation(
          std::make_unique<implementation>(settings, std::move(own_name), std::move(own_location), timers, random))
{
}

upstream_selector::~upstream_selector() = default;

void upstream_selector::update(std::span<const upstream_info> upstreams)
{
    m_implementation->update(upstreams);
}

std::optional<std::string> upstream_selector::choose(std::string_view service, const routing_context& context)
{
    return m_implementation->choose(service, context);
}

void upstream_selector::on_sent(std::string_view upstream, std::uint64_t request_bytes)
{
    m_implementation->on_sent(upstream, request_bytes);
}

void upstream_selector::on_response(std::string_view upstream, duration latency, const load_report& report,
                                    std::uint64_t response_bytes)
{
    m_implementation->on_response(upstream, latency, report, response_bytes);
}

void upstream_selector::on_refused(std::string_view upstream)
{
    m_implementation->on_refused(upstream);
}

void upstream_selector::on_failed(std::string_view upstream)
{
    m_implementation->on_failed(upstream);
}

void upstream_selector::on_abandoned(std::string_view upstream)
{
    m_implementation->on_abandoned(upstream);
}

std::vector<std::string> upstream_selector::subset(std::string_view service) const
{
    return m_implementation->subset(service);
}

} // namespace mulberry
