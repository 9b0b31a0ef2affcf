#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/time.h"
#include "libs/documents/endpoints.h"

#include <cstddef>
#include <string>

namespace mulberry {

/// Startup settings of a sidecar: a daemon that runs beside one upstream on a platform that provides the store.
struct sidecar_settings {
    /// Name of the node, unique in the fleet.
    std::string node_name;
    node_location location;
    /// Service of the upstream, used until the upstream announces its own.
    std::string service;
    /// Address of the upstream as "host:port".
    std::string upstream_address;
    /// Listening address for callers and for nested calls of the upstream.
    network_endpoint callers;
    /// Listening address for other daemons.
    network_endpoint peers;
    /// Listening address for the platform's readiness probes.
    network_endpoint readiness;
    /// Listening address for announcements of the upstream.
    network_endpoint announcements;
    /// Listening address for metrics. With port 0 no metrics are served.
    network_endpoint metrics;
    /// Address of the platform's store as "host:port".
    std::string store_address;
    /// Shortest lease that the store grants.
    duration min_lease{std::chrono::seconds(1)};

    std::size_t memory_limit_bytes = std::size_t{256} << 20U;
    std::size_t descriptor_limit = 1024;

    /// Maximum time for which a key may still be accepted after its withdrawal.
    duration withdrawal_limit{std::chrono::seconds(5)};
    /// Maximum time for which an upstream may still receive new work after its announcement to leave was acknowledged.
    duration drain_limit{std::chrono::milliseconds(2500)};
    /// Time between SIGTERM and SIGKILL, in which a planned stop has to finish.
    duration stop_limit{std::chrono::seconds(6)};

    /// Bound of the retries that reach a service from all nodes: at most `retry_ratio` x requests + `retry_slack` in
    /// each `retry_window`.
    double retry_ratio = 0.2;
    double retry_slack = 48;
    duration retry_window{std::chrono::seconds(10)};
};

} // namespace mulberry
