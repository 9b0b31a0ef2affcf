#pragma once

#include "libs/base/refusal.h"
#include "plugins/entry/matchedroute.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mulberry {

/// The configuration in force as far as requests need it. Pointers are valid until the next callback of the event loop.
class policy {
public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    virtual ~policy() = default;

    /// Where a request goes by its method, path and host, or why it is refused. The host is empty where routes don't
    /// depend on it.
    virtual std::variant<matched_route, refusal> match(std::string_view method, std::string_view path,
                                                       std::string_view host) const = 0;

    /// True if there is such a service.
    virtual bool has_service(std::string_view service) const = 0;

    /// Importance of an organisation's request on a route.
    virtual importance level_of(const route& rules, std::string_view /*organisation*/) const { return rules.level; }

    /// The organisation of a key; empty if the key is unknown or withdrawn.
    virtual std::optional<std::string> organisation_of(std::string_view key) const = 0;

    /// Asserts right before a request runs that the key still gives this organisation.
    virtual bool authorises(std::string_view key, std::string_view organisation) const = 0;

    /// False while the view of the keys may lack a withdrawal for longer than allowed.
    virtual bool keyed_requests_allowed() const = 0;

    /// Store revision of the documents in force.
    virtual std::int64_t revision() const = 0;
};

} // namespace mulberry
