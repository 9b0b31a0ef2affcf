#pragma once

#include <string>

namespace mulberry {

/// How short of room a service is, as seen by the nodes whose upstreams call it.
struct downstream_load {
    std::string service;
    /// Part of the recent calls that no guard of the service had room for, whichever was tried, in [0, 1].
    float refused_share = 0;

    bool operator==(const downstream_load&) const = default;
};

/// Most services that one answer reports.
inline constexpr std::size_t most_downstream_loads = 4;

} // namespace mulberry
