#include "plugins/virtualhosts/hostpolicy.h"

#include "libs/base/log.h"

#include <algorithm>
#include <utility>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "policy";
// Number of attempts beyond `max_attempts` that a request may make. Attempts that are refused before an upstream
// receives them do not count against `max_attempts`, so this limits them.
constexpr std::uint32_t additional_attempts = 2;

/// Returns the host name in lower case and without the port, as it is compared.
std::string normalised_host(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::ranges::transform(name, name.begin(),
                           [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return name;
}

} // namespace

host_policy::host_policy(const timer_service& timers, duration view_age_limit,
                         std::function<std::optional<time_point>()> confirmed_until)
    : m_timers(timers), m_view_age_limit(view_age_limit), m_confirmed_until(std::move(confirmed_until))
{
}

bool host_policy::apply(host_configuration configuration)
{
    if (m_configuration && configuration.version <= m_configuration->version)
        return configuration.version == m_configuration->version;
    m_configuration = std::move(configuration);
    m_routes.clear();
    for (const host_route& rules : m_configuration->routes)
        m_routes[normalised_host(rules.host)].push_back({&rules, std::vector<std::int64_t>(rules.services.size())});
    for (auto& [host, entries] : m_routes) {
        std::ranges::sort(entries, std::greater<>(),
                          [](const route_entry& entry) { return entry.rules->path_prefix.size(); });
    }
    m_keys.clear();
    m_organisations.clear();
    for (std::size_t i = 0; i < m_configuration->organisations.size(); ++i) {
        const host_organisation& organisation = m_configuration->organisations[i];
        m_organisations.emplace(organisation.name, i);
        for (const std::string& key : organisation.keys)
            m_keys.emplace(key, i);
    }
    log_info(log_part, "Configuration {} is active: {} routes, {} organisations, {} keys.", revision(),
             m_configuration->routes.size(), m_organisations.size(), m_keys.size());
    return true;
}

std::variant<matched_route, refusal> host_policy::match(std::string_view /*method*/, std::string_view path,
                                                        std::string_view host) const
{
    if (!m_configuration)
        return not_run_refusal(refusal_reason::starting);
    const auto entries = m_routes.find(normalised_host(host));
    if (entries == m_routes.end())
        return not_run_refusal(refusal_reason::route_unknown);
    const std::string_view path_without_query = path.substr(0, path.find('?'));
    const auto entry = std::ranges::find_if(entries->second, [path_without_query](const route_entry& each) {
        return path_without_query.starts_with(each.rules->path_prefix);
    });
    if (entry == entries->second.end())
        return not_run_refusal(refusal_reason::route_unknown);
    const host_route& rules = *entry->rules;
    matched_route matched;
    matched.service = select_service(*entry);
    matched.path = path;
    matched.rules.name = rules.name;
    matched.rules.level = rules.level;
    matched.rules.open = rules.open || m_configuration->organisations.empty();
    matched.rules.idempotent = rules.idempotent;
    matched.rules.deadline = rules.timeout;
    matched.body_cap_bytes = m_configuration->limits.max_body_bytes;
    matched.delivery_limit = rules.max_attempts;
    matched.total_attempts = rules.max_attempts + additional_attempts;
    return matched;
}

const std::string& host_policy::select_service(route_entry& entry) const
{
    const std::vector<weighted_service>& services = entry.rules->services;
    if (services.size() == 1)
        return services.front().service;
    std::int64_t total = 0;
    std::size_t selected = 0;
    for (std::size_t i = 0; i < services.size(); ++i) {
        entry.credit[i] += services[i].weight;
        total += services[i].weight;
        if (entry.credit[i] > entry.credit[selected])
            selected = i;
    }
    entry.credit[selected] -= total;
    return services[selected].service;
}

bool host_policy::has_service(std::string_view service) const
{
    return m_configuration && std::ranges::find(m_configuration->services, service) != m_configuration->services.end();
}

importance host_policy::level_of(const route& rules, std::string_view organisation) const
{
    const auto it = m_organisations.find(std::string(organisation));
    if (it == m_organisations.end())
        return rules.level;
    return m_configuration->organisations[it->second].level.value_or(rules.level);
}

std::optional<std::string> host_policy::organisation_of(std::string_view key) const
{
    const auto it = m_keys.find(std::string(key));
    if (it == m_keys.end())
        return std::nullopt;
    return m_configuration->organisations[it->second].name;
}

bool host_policy::authorises(std::string_view key, std::string_view organisation) const
{
    return organisation_of(key) == organisation;
}

bool host_policy::keyed_requests_allowed() const
{
    const auto confirmed_until = m_confirmed_until();
    return confirmed_until && m_timers.now() - *confirmed_until <= m_view_age_limit;
}

} // namespace mulberry
