#pragma once

#include "libs/documents/servicedocument.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace mulberry {

/// Where a request goes and what holds for it.
struct matched_route {
    std::string service;
    /// Path and query for the upstream.
    std::string path;
    route rules;
    std::size_t body_cap_bytes = 0;
    /// Attempts of the request's call tree, the first one included.
    std::uint32_t total_attempts = 1;
    /// Attempts that may reach an upstream.
    std::uint32_t most_arrivals = 1;
};

} // namespace mulberry
