#pragma once

#include "libs/http1/http1server.h"
#include "libs/store/keyvaluestore.h"
#include "plugins/calls/fieldnames.h"
#include "plugins/upstream/upstreamtracker.h"
#include "plugins/virtualhosts/hostconfiguration.h"

#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace mulberry {

/// Translates between the interfaces of a deployment platform and the types of this system. Implementations convert
/// data and contain no policy.
class platform_adapter {
public:
    platform_adapter() = default;
    platform_adapter(const platform_adapter&) = delete;
    platform_adapter& operator=(const platform_adapter&) = delete;
    virtual ~platform_adapter() = default;

    /// Names of the header fields that the platform uses for request identifiers, deadlines and the like.
    virtual const field_names& fields() const = 0;

    /// Creates a client of the platform's store. The HTTP client and the timers outlive it.
    virtual std::unique_ptr<key_value_store> make_store(http_client& http, timer_service& timers) = 0;

    /// Key under which the store holds the configuration.
    virtual std::string configuration_key() const = 0;
    /// Decodes the configuration. Returns a description of the error if the value is not valid.
    virtual std::variant<host_configuration, std::string> decode_configuration(std::string_view value) const = 0;

    /// Handles an announcement request from the upstream: reports its content to the tracker and returns the HTTP
    /// response.
    virtual http1_response on_announcement(const http1_request& request, upstream_tracker& upstream) = 0;

    /// Returns whether the request is the platform's readiness probe, which checks whether this daemon accepts callers.
    virtual bool is_readiness_request(const http1_request& request) const = 0;
};

} // namespace mulberry
