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
    for (const auto& [domain, received] : m_domains) {
        if (domain_hash(domain) == hash)
            return domain;
    }
    return {};
}

void view_age::set_complete_as_of(time_point as_of)
{
    if (!m_complete_as_of || *m_complete_as_of < as_of)
        m_complete_as_of = as_of;
}

std::optional<duration> view_age::age() const
{
    if (!m_complete_as_of)
        return std::nullopt;
    return m_timers.now() - *m_complete_as_of;
}

void view_age::record_statement(const domain_statement& statement, time_point request_sent)
{
    const auto it = m_domains.find(statement.domain);
    if (it == m_domains.end())
        return;
    received_statement received;
    // The response was made between the sending of the request and now. The age of the statement is counted from the
    // sending, and the time since the store was reached from now: both are the cautious bounds.
    received.reported_at = request_sent - statement.age;
    if (statement.store_reached_ago)
        received.store_reached_at = m_timers.now() - *statement.store_reached_ago;
    received.known_revision = statement.known_revision;
    received.confirmed_revision = statement.confirmed_revision;
    if (!it->second) {
        it->second = received;
        return;
    }
    received_statement& stored = *it->second;
    if (received.reported_at > stored.reported_at) {
        stored.reported_at = received.reported_at;
        stored.confirmed_revision = received.confirmed_revision;
    }
    stored.known_revision = std::max(stored.known_revision, received.known_revision);
    stored.store_reached_at = std::max(stored.store_reached_at, received.store_reached_at);
}

std::vector<domain_statement> view_age::statements() const
{
    std::vector<domain_statement> result;
    for (const auto& [domain, received] : m_domains) {
        if (!received)
            continue;
        domain_statement statement{domain, m_timers.now() - received->reported_at, std::nullopt,
                                   received->known_revision, received->confirmed_revision};
        if (received->store_reached_at)
            statement.store_reached_ago = m_timers.now() - *received->store_reached_at;
        result.push_back(std::move(statement));
    }
    return result;
}

bool view_age::keyed_requests_allowed(std::int64_t held_revision) const
{
    if (!m_complete_as_of)
        return false;
    if (m_timers.now() - *m_complete_as_of < m_limit)
        return true;
    return std::all_of(m_domains.begin(), m_domains.end(), [&](const auto& each) {
        return each.second && reports_store_unreachable(*each.second, held_revision);
    });
}

bool view_age::reports_store_unreachable(const received_statement& statement, std::int64_t held_revision) const
{
    const time_point now = m_timers.now();
    const bool reached_recently =
        statement.store_reached_at && now - *statement.store_reached_at < store_unreachable_after;
    return now - statement.reported_at < m_limit && !reached_recently && statement.known_revision <= held_revision;
}

} // namespace mulberry
