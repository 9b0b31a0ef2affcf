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

/// Translates between a platform's interfaces and this system's own types. Decides nothing.
class platform_adapter {
public:
    platform_adapter() = default;
    platform_adapter(const platform_adapter&) = delete;
    platform_adapter& operator=(const platform_adapter&) = delete;
    virtual ~platform_adapter() = default;

    virtual const field_names& fields() const = 0;

    /// A client of the platform's store. The HTTP client and the timers outlive it.
    virtual std::unique_ptr<key_value_store> make_store(http_client& http, timer_service& timers) = 0;

    /// Key of the configuration in the store.
    virtual std::string configuration_key() const = 0;
    /// The configuration, or what is wrong with it.
    virtual std::variant<host_configuration, std::string> decode_configuration(std::string_view value) const = 0;

    /// Passes an announcement of the upstream on and returns the answer to it.
    virtual http1_answer on_announcement(const http1_request& request, upstream_tracker& upstream) = 0;

    /// True for the platform's question whether this daemon takes callers.
    virtual bool asks_for_readiness(const http1_request& request) const = 0;
};

} // namespace mulberry
