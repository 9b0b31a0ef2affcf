#pragma once

#include "libs/documents/servicedocument.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry {

/// The configuration in force as far as requests need it. Pointers are valid until the next callback of the event loop.
class policy {
public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    virtual ~policy() = default;

    /// The document of a service, or null.
    virtual const service_document* find_service(std::string_view service) const = 0;

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
