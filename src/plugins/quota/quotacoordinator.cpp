#include "plugins/quota/quotacoordinator.h"

#include <algorithm>
#include <cmath>

namespace mulberry {

void quota_coordinator::set_limits(const std::map<std::string, quota_limit, std::less<>>& limits)
{
    std::map<std::string, bucket, std::less<>> buckets;
    for (const auto& [name, limit] : limits) {
        const auto previous = m_buckets.find(name);
        bucket target;
        target.limit = limit;
        target.updated_at = m_timers.now();
        target.tokens = previous == m_buckets.end() ? initial_tokens(limit) : previous->second.tokens;
        target.tokens = std::min(target.tokens, std::max(limit.burst, 1.0));
        buckets.emplace(name, std::move(target));
    }
    m_buckets = std::move(buckets);
}

double quota_coordinator::initial_tokens(const quota_limit& limit) const
{
    return std::min(limit.rate * m_settings.initial_seconds, std::max(limit.burst, 1.0));
}

void quota_coordinator::begin_term()
{
    m_last_report_times.clear();
    m_term_began_at = m_timers.now();
    m_assumes_levels = false;
    for (auto& [name, target] : m_buckets) {
        target.tokens = 0;
        target.updated_at = m_timers.now();
        target.earlier_level.reset();
    }
}

void quota_coordinator::learn_level(bucket& target, double level)
{
    if (target.earlier_level && level >= *target.earlier_level)
        return;
    target.tokens += level - target.earlier_level.value_or(0);
    target.earlier_level = level;
}

void quota_coordinator::assume_unknown_levels()
{
    m_assumes_levels = true;
    for (auto& [name, target] : m_buckets) {
        if (!target.earlier_level)
            learn_level(target, initial_tokens(target.limit));
    }
}

double quota_coordinator::withheld_fraction(std::size_t nodes)
{
    if (nodes == 0)
        return 0;
    const time_point now = m_timers.now();
    std::erase_if(m_last_report_times, [&](const auto& entry) { return now - entry.second > m_settings.silent_after; });
    const std::size_t silent = nodes > m_last_report_times.size() ? nodes - m_last_report_times.size() : 0;
    return static_cast<double>(silent) / static_cast<double>(nodes);
}

void quota_coordinator::refill(bucket& target, double withheld)
{
    const time_point now = m_timers.now();
    const double earned = to_seconds(now - target.updated_at) * target.limit.rate * (1 - withheld);
    target.tokens = std::min(target.tokens + earned, std::max(target.limit.burst, 1.0));
    target.updated_at = now;
}

quota_grant quota_coordinator::grant(const std::string& from, const quota_report& report, std::size_t nodes)
{
    // Answers that are missing at the node count as silence: the node may use its even share soon.
    m_last_report_times[from] = m_timers.now() - report.unanswered_for;
    const double withheld = withheld_fraction(nodes);
    quota_grant response;
    response.sequence = report.sequence;
    if (!m_assumes_levels && m_timers.now() - m_term_began_at > m_settings.learning_time)
        assume_unknown_levels();
    for (const quota_amount& requested : report.requested_amounts) {
        const auto found = m_buckets.find(requested.organisation);
        if (found == m_buckets.end())
            continue;
        bucket& target = found->second;
        if (requested.level)
            learn_level(target, *requested.level);
        refill(target, withheld);
        const double granted = std::floor(std::clamp(target.tokens, 0.0, static_cast<double>(requested.tokens)));
        target.tokens -= granted;
        const auto level = static_cast<std::uint32_t>(std::max(target.tokens, 0.0));
        response.granted_amounts.push_back({requested.organisation, static_cast<std::uint32_t>(granted), level});
    }
    return response;
}

} // namespace mulberry
