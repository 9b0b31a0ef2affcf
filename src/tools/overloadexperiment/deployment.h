#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/time.h"

#include <string>
#include <vector>

namespace mulberry {

/// One service of a call chain. It processes each request for `processing_time` on average, then calls the next
/// service.
struct service_plan {
    std::string name;
    unsigned upstreams = 0;
    /// Concurrent requests per upstream.
    unsigned slots = 0;
    duration processing_time{0};
};

/// A chain of services of which the entries call the first, with the numbers of section 1.3 of docs/design.md. The
/// latencies are one-way.
struct deployment {
    std::string name;
    std::vector<service_plan> chain;
    std::vector<node_location> domains;
    duration domain_latency{0};
    duration region_latency{0};
    duration client_latency{0};

    /// Requests per second that the bottleneck service of the chain can process.
    double capacity() const;
};

deployment tambour_deployment();
deployment benali_deployment();

} // namespace mulberry
