#pragma once

#include "libs/base/importance.h"
#include "libs/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberry {

/// A service that receives a share of a route's requests, in proportion to the weights of all services of the route.
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;
};

/// Rules for the requests to one host whose path begins with a prefix.
struct host_route {
    std::string name;
    std::string host;
    std::string path_prefix;
    std::vector<weighted_service> services;
    importance level = importance::normal;
    bool idempotent = false;
    /// Whether requests are accepted without a key.
    bool open = false;
    /// Maximum time from the receipt of a request to its response.
    duration timeout{0};
    /// Maximum number of attempts of one request that upstreams may receive.
    std::uint32_t max_attempts = 1;
};

/// An organisation and its keys.
struct host_organisation {
    std::string name;
    std::vector<std::string> keys;
    /// If set, overrides the importance of the routes.
    std::optional<importance> level;
    /// Rate limit over all nodes: requests per second, and burst in requests. A rate of 0 means no limit.
    double rate = 0;
    double burst = 0;
};

/// Limits for the requests and connections of callers.
struct host_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
    duration header_timeout{std::chrono::seconds(3)};
    duration idle_timeout{std::chrono::seconds(15)};
};

/// The complete configuration for routing by host. Versions never decrease.
struct host_configuration {
    std::int64_t version = 0;
    std::vector<host_route> routes;
    std::vector<std::string> services;
    /// If empty, no route requires a key.
    std::vector<host_organisation> organisations;
    host_limits limits;
};

} // namespace mulberry
