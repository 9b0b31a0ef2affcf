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
/// Least part of its normal share that an upstream gets at the begin of its ramp; without calls it would stay cold.
constexpr double least_ramp = 0.1;
/// Part of the calls that go farther away per relative gain in latency. Sending all of them at once would overload the
/// farther upstreams before their latency shows it.
constexpr double spill_per_gain = 2;
/// The typical latency of a service must lag behind the observations of one upstream that has become slow.
constexpr double typical_time_constant_s = 10;
/// An upstream of the own failure domain gets all calls while it uses less than this part of its slots and answers in
/// less than this many times the time of another domain's: bytes between domains are billed.
constexpr double domain_utilisation = 0.7;
constexpr double domain_latency_ratio = 2;
/// Beyond that, how many times the load of an upstream of another domain that of the own one is before calls go there.
constexpr double domain_preference = 1.25;

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
    void on_answer(std::string_view name, duration latency, const load_report& report, std::uint64_t answer_bytes);
    void on_refused(std::string_view name);
    void on_failed(std::string_view name);
    void on_abandoned(std::string_view name);
    std::vector<std::string> subset(std::string_view service) const;

private:
    struct upstream {
        std::uint64_t incarnation = 0;
        std::string service;
        detail::distance away = detail::distance::same_domain;
        time_point serving_since;
        detail::upstream_observation observed;
    };
    using upstream_map = std::map<std::string, upstream, std::less<>>;
    using candidate = upstream_map::value_type*;
    using candidate_list = std::vector<candidate>;

    struct service_view {
        candidate_list subset;
        double typical_us = 0;
        time_point typical_updated;
    };

    bool is_less_loaded(const upstream_map::value_type& far, const upstream_map::value_type& near,
                        const detail::typical_upstream& typical);
    bool is_worth(duration near, duration far, duration gain);
    detail::typical_upstream typical(std::string_view service) const;
    void note_typical(service_view& view, duration latency);
    void set_link_rate(std::span<const upstream_info> upstreams);
    candidate_list usable(std::string_view service, const routing_context& context);
    void leave_out_ejected(candidate_list& candidates) const;
    void leave_out_ramping(candidate_list& candidates);
    candidate better_of_two(std::span<const candidate> tier, const detail::typical_upstream& typical);
    bool is_ejectable(const upstream& subject) const;
    upstream* find(std::string_view name);

    routing_settings m_settings;
    std::string m_own_name;
    node_location m_own_location;
    timer_service& m_timers;
    random_source& m_random;
    detail::byte_budget m_budget;
    upstream_map m_upstreams;
    std::map<std::string, service_view, std::less<>> m_services;
};

void upstream_selector::implementation::update(std::span<const upstream_info> upstreams)
{
    upstream_map next;
    std::map<std::string, std::vector<detail::subset_candidate>, std::less<>> candidates;
    for (const upstream_info& info : upstreams) {
        if (info.state != upstream_state::serving && info.state != upstream_state::leaving)
            continue;
        const auto known = m_upstreams.find(info.name);
        upstream entry;
        if (known != m_upstreams.end() && known->second.incarnation == info.incarnation)
            entry = known->second;
        entry.incarnation = info.incarnation;
        entry.service = info.service;
        entry.away = detail::distance_between(m_own_location, info.location);
        entry.serving_since = info.serving_since;
        entry.observed.announce_limit(info.concurrency_limit);
        if (info.state == upstream_state::serving)
            candidates[info.service].push_back({info.name, entry.away});
        next.insert_or_assign(info.name, std::move(entry));
    }
    // Calls in flight to an upstream that has left are no longer of interest.
    m_upstreams = std::move(next);
    for (auto& [service, view] : m_services)
        view.subset.clear();
    for (auto& [service, list] : candidates) {
        candidate_list& subset = m_services[service].subset;
        for (const auto& each : detail::choose_subset(m_own_name, std::move(list), m_settings.subset_size))
            subset.push_back(&*m_upstreams.find(each.name));
    }
    set_link_rate(upstreams);
}

void upstream_selector::implementation::set_link_rate(std::span<const upstream_info> upstreams)
{
    const auto sharers = std::ranges::count_if(upstreams, [this](const upstream_info& info) {
        return info.state != upstream_state::dead && info.location.region == m_own_location.region;
    });
    m_budget.set_rate(m_settings.link_bytes_per_second * (1 - m_settings.link_control_share) /
                      static_cast<double>(std::max<std::ptrdiff_t>(sharers, 1)));
}

std::optional<std::string> upstream_selector::implementation::choose(std::string_view service,
                                                                     const routing_context& context)
{
    const time_point now = m_timers.now();
    const detail::typical_upstream typical = this->typical(service);
    const candidate_list candidates = usable(service, context);
    const std::array gains{duration{0}, m_settings.domain_gain, m_settings.region_gain};
    candidate best = nullptr;
    duration best_latency{0};
    for (const auto away :
         {detail::distance::same_domain, detail::distance::same_region, detail::distance::other_region}) {
        if (away == detail::distance::other_region && !m_budget.allows(context.request_bytes))
            break;
        candidate_list tier;
        std::ranges::copy_if(candidates, std::back_inserter(tier),
                             [away](candidate each) { return each->second.away == away; });
        if (tier.empty())
            continue;
        const candidate chosen = better_of_two(tier, typical);
        const duration latency = chosen->second.observed.expected_latency(now, typical.latency);
        const duration gain = gains[static_cast<std::size_t>(away)];
        const bool is_better = away == detail::distance::same_region
                                   ? best != nullptr && is_less_loaded(*chosen, *best, typical)
                                   : best != nullptr && is_worth(best_latency, latency, gain);
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
    const duration near_latency = near.second.observed.expected_latency(now, typical.latency);
    const duration far_latency = far.second.observed.expected_latency(now, typical.latency) + m_settings.domain_gain;
    if (near.second.observed.utilisation(now) < domain_utilisation &&
        to_seconds(near_latency) < to_seconds(far_latency) * domain_latency_ratio)
        return false;
    const detail::typical_upstream typical_far{typical.latency + m_settings.domain_gain, typical.concurrency_limit};
    return far.second.observed.cost(now, typical_far) * domain_preference < near.second.observed.cost(now, typical);
}

bool upstream_selector::implementation::is_worth(duration near, duration far, duration gain)
{
    const double excess = to_seconds(near - far - gain);
    return excess > 0 && m_random.unit() < spill_per_gain * excess / to_seconds(near);
}

detail::typical_upstream upstream_selector::implementation::typical(std::string_view service) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return {};
    double sum = 0;
    double known = 0;
    for (const candidate each : it->second.subset) {
        const std::uint32_t limit = each->second.observed.concurrency_limit();
        sum += limit;
        known += limit > 0 ? 1 : 0;
    }
    return {duration{static_cast<std::int64_t>(it->second.typical_us)}, known > 0 ? sum / known : 0};
}

upstream_selector::implementation::candidate_list
upstream_selector::implementation::usable(std::string_view service, const routing_context& context)
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return {};
    candidate_list candidates;
    std::ranges::copy_if(it->second.subset, std::back_inserter(candidates), [&](candidate each) {
        return std::ranges::find(context.excluded, each->first) == context.excluded.end();
    });
    leave_out_ejected(candidates);
    leave_out_ramping(candidates);
    return candidates;
}

void upstream_selector::implementation::leave_out_ejected(candidate_list& candidates) const
{
    const auto ejected = [now = m_timers.now()](candidate each) { return each->second.observed.is_ejected(now); };
    // The link to the other region may be too narrow for all calls, so its upstreams don't replace those of this one.
    const auto is_near = [](candidate each) { return each->second.away != detail::distance::other_region; };
    const bool near_left =
        std::ranges::any_of(candidates, [&](candidate each) { return is_near(each) && !ejected(each); });
    const bool any_left = std::ranges::any_of(candidates, std::not_fn(ejected));
    std::erase_if(candidates, [&](candidate each) { return ejected(each) && (is_near(each) ? near_left : any_left); });
}

void upstream_selector::implementation::leave_out_ramping(candidate_list& candidates)
{
    const time_point now = m_timers.now();
    candidate_list ready;
    for (const candidate each : candidates) {
        const double progress = to_seconds(now - each->second.serving_since) / to_seconds(m_settings.ramp);
        if (progress >= 1 || m_random.unit() < std::max(progress, least_ramp))
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
    return tier[first]->second.observed.cost(now, typical) <= tier[second]->second.observed.cost(now, typical)
               ? tier[first]
               : tier[second];
}

void upstream_selector::implementation::on_sent(std::string_view name, std::uint64_t request_bytes)
{
    upstream* subject = find(name);
    if (subject == nullptr)
        return;
    subject->observed.on_sent(m_timers.now());
    if (subject->away == detail::distance::other_region)
        m_budget.take(request_bytes);
}

void upstream_selector::implementation::on_answer(std::string_view name, duration latency, const load_report& report,
                                                  std::uint64_t answer_bytes)
{
    upstream* subject = find(name);
    if (subject == nullptr)
        return;
    subject->observed.on_answer(m_timers.now(), latency, report);
    note_typical(m_services[subject->service], latency);
    if (subject->away == detail::distance::other_region)
        m_budget.take(answer_bytes);
}

void upstream_selector::implementation::note_typical(service_view& view, duration latency)
{
    const time_point now = m_timers.now();
    const double sample_us = static_cast<double>(latency.count());
    const double kept = std::exp(-to_seconds(now - view.typical_updated) / typical_time_constant_s);
    view.typical_us = view.typical_us == 0 ? sample_us : sample_us + (view.typical_us - sample_us) * kept;
    view.typical_updated = now;
}

void upstream_selector::implementation::on_refused(std::string_view name)
{
    if (upstream* subject = find(name))
        subject->observed.on_refused(m_timers.now());
}

void upstream_selector::implementation::on_failed(std::string_view name)
{
    upstream* subject = find(name);
    if (subject == nullptr)
        return;
    const time_point now = m_timers.now();
    const std::uint32_t failures = subject->observed.on_failed(now);
    if (failures < m_settings.ejection_failures || subject->observed.is_ejected(now) || !is_ejectable(*subject))
        return;
    subject->observed.eject(now, m_settings.first_ejection, m_settings.longest_ejection);
    log_info(log_part, "Left out {} after {} failures in a row.", name, failures);
}

void upstream_selector::implementation::on_abandoned(std::string_view name)
{
    if (upstream* subject = find(name))
        subject->observed.on_abandoned();
}

/// An upstream is an outlier only while at least half of the others answer, and at most half are left out: when most
/// fail, the cause lies elsewhere and the rest would be overloaded.
bool upstream_selector::implementation::is_ejectable(const upstream& subject) const
{
    const auto it = m_services.find(subject.service);
    if (it == m_services.end())
        return false;
    const time_point now = m_timers.now();
    std::size_t ejected = 0;
    std::size_t answering = 0;
    for (const candidate each : it->second.subset) {
        const auto& observed = each->second.observed;
        ejected += observed.is_ejected(now) ? 1 : 0;
        answering += &each->second != &subject && !observed.is_ejected(now) && observed.answers(now) ? 1 : 0;
    }
    const std::size_t size = it->second.subset.size();
    return (ejected + 1) * 2 <= size && answering * 2 + 1 >= size;
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

void upstream_selector::on_answer(std::string_view upstream, duration latency, const load_report& report,
                                  std::uint64_t answer_bytes)
{
    m_implementation->on_answer(upstream, latency, report, answer_bytes);
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
