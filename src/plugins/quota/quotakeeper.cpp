#include "plugins/quota/quotakeeper.h"

#include <algorithm>
#include <cmath>

namespace mulberry {

void quota_keeper::set_limits(const std::map<std::string, quota_limit, std::less<>>& limits)
{
    std::map<std::string, bucket, std::less<>> next;
    for (const auto& [name, limit] : limits) {
        const auto known = m_buckets.find(name);
        bucket subject;
        subject.limit = limit;
        subject.updated = m_timers.now();
        subject.level = known == m_buckets.end() ? start_level(limit) : known->second.level;
        subject.level = std::min(subject.level, std::max(limit.burst, 1.0));
        next.emplace(name, std::move(subject));
    }
    m_buckets = std::move(next);
}

double quota_keeper::start_level(const quota_limit& limit) const
{
    return std::min(limit.rate * m_settings.start_seconds, std::max(limit.burst, 1.0));
}

void quota_keeper::restart()
{
    m_heard.clear();
    for (auto& [name, subject] : m_buckets) {
        subject.level = start_level(subject.limit);
        subject.updated = m_timers.now();
    }
}

double quota_keeper::held_back(std::size_t nodes)
{
    if (nodes == 0)
        return 0;
    const time_point now = m_timers.now();
    std::erase_if(m_heard, [&](const auto& entry) { return now - entry.second > m_settings.silent_after; });
    const std::size_t silent = nodes > m_heard.size() ? nodes - m_heard.size() : 0;
    return static_cast<double>(silent) / static_cast<double>(nodes);
}

void quota_keeper::refill(bucket& subject, double held)
{
    const time_point now = m_timers.now();
    const double earned = to_seconds(now - subject.updated) * subject.limit.rate * (1 - held);
    subject.level = std::min(subject.level + earned, std::max(subject.limit.burst, 1.0));
    subject.updated = now;
}

quota_grant quota_keeper::grant(const std::string& from, const quota_report& report, std::size_t nodes)
{
    m_heard[from] = m_timers.now();
    const double held = held_back(nodes);
    quota_grant answer;
    answer.sequence = report.sequence;
    for (const quota_amount& wanted : report.wanted) {
        const auto found = m_buckets.find(wanted.organisation);
        if (found == m_buckets.end())
            continue;
        bucket& subject = found->second;
        refill(subject, held);
        const double given = std::floor(std::min(static_cast<double>(wanted.tokens), subject.level));
        if (given < 1)
            continue;
        subject.level -= given;
        answer.granted.push_back({wanted.organisation, static_cast<std::uint32_t>(given)});
    }
    return answer;
}

} // namespace mulberry
