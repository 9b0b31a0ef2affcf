#pragma once

#include "libs/documents/servicedocument.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace mulberry {

/// Target service of a request and the rules of its route.
struct matched_route {
    std::string service;
    /// Path and query that are sent to the upstream.
    std::string path;
    route rules;
    std::size_t body_cap_bytes = 0;
    /// Maximum number of attempts in the request's call tree, including the first one.
    std::uint32_t total_attempts = 1;
    /// Maximum number of attempts that an upstream may receive.
    std::uint32_t delivery_limit = 1;
};

} // namespace mulberry
