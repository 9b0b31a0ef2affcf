#pragma once

#include "libs/base/refusal.h"
#include "plugins/entry/matchedroute.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mulberry {

/// The part of the active configuration that is needed to handle requests. Pointers are valid until the next callback
/// of the event loop.
class policy {
public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    virtual ~policy() = default;

    /// Returns the route that matches the method, path and host, or a refusal. The host is empty where routes do not
    /// depend on it.
    virtual std::variant<matched_route, refusal> match(std::string_view method, std::string_view path,
                                                       std::string_view host) const = 0;

    /// True if the configuration contains the service.
    virtual bool has_service(std::string_view service) const = 0;

    /// Returns the importance of an organisation's requests on a route.
    virtual importance level_of(const route& rules, std::string_view /*organisation*/) const { return rules.level; }

    /// Returns the organisation that a key belongs to; empty if the key is unknown or withdrawn.
    virtual std::optional<std::string> organisation_of(std::string_view key) const = 0;

    /// True if the key still belongs to this organisation. Checked immediately before each attempt.
    virtual bool authorises(std::string_view key, std::string_view organisation) const = 0;

    /// False while the view of the keys is older than allowed, so that it may lack the withdrawal of a key.
    virtual bool keyed_requests_allowed() const = 0;

    /// Returns the store revision of the active documents.
    virtual std::int64_t revision() const = 0;
};

} // namespace mulberry
