#pragma once

#include "libs/base/timerservice.h"
#include "plugins/entry/policy.h"
#include "plugins/virtualhosts/hostconfiguration.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mulberry {

/// Policy that routes requests by host and path prefix. Keyed requests depend on the age of the view from which the
/// configuration was read.
class host_policy final : public policy {
public:
    /// `confirmed_until` returns the latest time up to which all changes of the configuration are known. Keyed requests
    /// are refused while that time is unknown or longer ago than `view_age_limit`.
    host_policy(const timer_service& timers, duration view_age_limit,
                std::function<std::optional<time_point>()> confirmed_until);

    /// Activates a configuration unless its version is not newer than the active one. Returns whether this version is
    /// active afterwards.
    bool apply(host_configuration configuration);

    bool has_configuration() const { return m_configuration.has_value(); }
    const host_configuration& configuration() const { return *m_configuration; }

    std::variant<matched_route, refusal> match(std::string_view method, std::string_view path,
                                               std::string_view host) const override;
    bool has_service(std::string_view service) const override;
    importance level_of(const route& rules, std::string_view organisation) const override;
    std::optional<std::string> organisation_of(std::string_view key) const override;
    bool authorises(std::string_view key, std::string_view organisation) const override;
    bool keyed_requests_allowed() const override;
    std::int64_t revision() const override { return m_configuration ? m_configuration->version : 0; }

private:
    /// Distributes the requests of a route to its services exactly by weight (smooth weighted round robin).
    struct route_entry {
        const host_route* rules = nullptr;
        std::vector<std::int64_t> credit;
    };

    const std::string& select_service(route_entry& entry) const;

    const timer_service& m_timers;
    duration m_view_age_limit;
    std::function<std::optional<time_point>()> m_confirmed_until;
    std::optional<host_configuration> m_configuration;
    // Routes by host, the longest prefix first. Mutable because selecting a service updates the credit.
    mutable std::unordered_map<std::string, std::vector<route_entry>> m_routes;
    std::unordered_map<std::string, std::size_t> m_keys;
    std::unordered_map<std::string, std::size_t> m_organisations;
};

} // namespace mulberry
