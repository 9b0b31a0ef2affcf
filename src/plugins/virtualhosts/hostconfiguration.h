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

/// A part of a route's requests that one service gets, in proportion to the weights of all parts.
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;
};

/// Requests to one host whose path begins with a prefix.
struct host_route {
    std::string name;
    std::string host;
    std::string path_prefix;
    std::vector<weighted_service> services;
    importance level = importance::normal;
    bool idempotent = false;
    /// Needs no key.
    bool open = false;
    /// Longest time from the entry of a request to its answer.
    duration timeout{0};
    /// Upstreams at which one request may arrive.
    std::uint32_t max_attempts = 1;
};

/// An organisation with the keys that name it.
struct host_organisation {
    std::string name;
    std::vector<std::string> keys;
    /// Replaces the importance of the routes.
    std::optional<importance> level;
    /// Requests per second and burst over all nodes; a rate of 0 means no limit.
    double rate = 0;
    double burst = 0;
};

/// What callers may send.
struct host_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
    duration header_timeout{std::chrono::seconds(3)};
    duration idle_timeout{std::chrono::seconds(15)};
};

/// A whole configuration for routing by host. Versions never fall.
struct host_configuration {
    std::int64_t version = 0;
    std::vector<host_route> routes;
    std::vector<std::string> services;
    /// Empty if no keys are needed.
    std::vector<host_organisation> organisations;
    host_limits limits;
};

} // namespace mulberry
