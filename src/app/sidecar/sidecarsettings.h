#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/time.h"
#include "libs/documents/endpoints.h"

#include <cstddef>
#include <string>

namespace mulberry {

/// What a daemon beside an upstream on a platform with a store of its own is told at its start.
struct sidecar_settings {
    std::string node_name;
    node_location location;
    /// The service of the upstream until it announces itself.
    std::string service;
    /// "host:port" of the upstream.
    std::string upstream_address;
    /// Callers and the upstream's own calls.
    network_endpoint callers;
    /// Other daemons.
    network_endpoint peers;
    /// Whether this daemon takes callers.
    network_endpoint readiness;
    /// Announcements of the upstream.
    network_endpoint announcements;
    /// Counters; port 0 serves none.
    network_endpoint metrics;
    std::string store_address;
    duration shortest_lease{std::chrono::seconds(1)};

    std::size_t memory_limit_bytes = std::size_t{256} << 20U;
    std::size_t descriptor_limit = 1024;

    /// A withdrawn key must not work for longer than this.
    duration withdrawal_limit{std::chrono::seconds(5)};
    /// After an upstream's leaving has been acknowledged it gets no new work once this has passed.
    duration drain_limit{std::chrono::milliseconds(2500)};
    /// From SIGTERM to SIGKILL.
    duration stop_limit{std::chrono::seconds(6)};

    /// Repeated arrivals at a service over all nodes: at most ratio x requests + slack in each window.
    double retry_ratio = 0.2;
    double retry_slack = 48;
    duration retry_window{std::chrono::seconds(10)};
};

} // namespace mulberry
