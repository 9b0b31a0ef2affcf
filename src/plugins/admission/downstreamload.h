#pragma once

#include <string>

namespace mulberry {

/// How overloaded a service is, as observed by the nodes whose upstreams call it.
struct downstream_load {
    std::string service;
    /// Share of the recent calls that every tried guard of the service refused for lack of free capacity, in [0, 1].
    float refused_share = 0;

    bool operator==(const downstream_load&) const = default;
};

/// Maximum number of services that one response reports.
inline constexpr std::size_t max_downstream_loads = 4;

} // namespace mulberry
