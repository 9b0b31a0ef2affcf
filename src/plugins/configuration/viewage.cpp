#include "plugins/configuration/viewage.h"

#include <algorithm>

#include <xxhash.h>

namespace mulberry {

std::uint32_t domain_hash(std::string_view domain)
{
    return static_cast<std::uint32_t>(XXH3_64bits(domain.data(), domain.size()));
}

view_age::view_age(timer_service& timers, std::span<const std::string> domains) : m_timers(timers)
{
    for (const std::string& domain : domains)
        add_domain(domain);
}

void view_age::set_limit(duration limit)
{
    m_limit = std::clamp(limit, min_view_limit, max_view_limit);
}

void view_age::add_domain(std::string_view domain)
{
    if (!m_domains.contains(domain))
        m_domains.emplace(domain, std::nullopt);
}

std::string view_age::domain_with_hash(std::uint32_t hash) const
{
    for (const auto& [domain, heard] : m_domains) {
        if (domain_hash(domain) == hash)
            return domain;
    }
    return {};
}

void view_age::set_fresh_at(time_point as_of)
{
    if (!m_fresh_at || *m_fresh_at < as_of)
        m_fresh_at = as_of;
}

std::optional<duration> view_age::age() const
{
    if (!m_fresh_at)
        return std::nullopt;
    return m_timers.now() - *m_fresh_at;
}

void view_age::hear(const domain_statement& statement, time_point request_sent)
{
    const auto it = m_domains.find(statement.domain);
    if (it == m_domains.end())
        return;
    heard_statement heard;
    // The answer was given between the sending and now; each age takes the bound that is on the safe side.
    heard.made_at = request_sent - statement.age;
    if (statement.store_reached_ago)
        heard.store_reached_at = m_timers.now() - *statement.store_reached_ago;
    heard.known_revision = statement.known_revision;
    heard.confirmed_revision = statement.confirmed_revision;
    if (!it->second) {
        it->second = heard;
        return;
    }
    heard_statement& known = *it->second;
    if (heard.made_at > known.made_at) {
        known.made_at = heard.made_at;
        known.confirmed_revision = heard.confirmed_revision;
    }
    known.known_revision = std::max(known.known_revision, heard.known_revision);
    known.store_reached_at = std::max(known.store_reached_at, heard.store_reached_at);
}

std::vector<domain_statement> view_age::statements() const
{
    std::vector<domain_statement> result;
    for (const auto& [domain, heard] : m_domains) {
        if (!heard)
            continue;
        domain_statement statement{domain, m_timers.now() - heard->made_at, std::nullopt, heard->known_revision,
                                   heard->confirmed_revision};
        if (heard->store_reached_at)
            statement.store_reached_ago = m_timers.now() - *heard->store_reached_at;
        result.push_back(std::move(statement));
    }
    return result;
}

bool view_age::keyed_requests_allowed(std::int64_t held_revision) const
{
    if (!m_fresh_at)
        return false;
    if (m_timers.now() - *m_fresh_at < m_limit)
        return true;
    return std::all_of(m_domains.begin(), m_domains.end(), [&](const auto& each) {
        return each.second && store_is_out_of_reach(*each.second, held_revision);
    });
}

bool view_age::store_is_out_of_reach(const heard_statement& statement, std::int64_t held_revision) const
{
    const time_point now = m_timers.now();
    const bool reached_lately = statement.store_reached_at && now - *statement.store_reached_at < out_of_reach_after;
    return now - statement.made_at < m_limit && !reached_lately && statement.known_revision <= held_revision;
}

} // namespace mulberry
