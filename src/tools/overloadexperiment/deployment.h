#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/time.h"

#include <string>
#include <vector>

namespace mulberry {

/// One service of a call chain; each of its requests works for a time and then calls the next service.
struct service_plan {
    std::string name;
    unsigned upstreams = 0;
    unsigned slots = 0;
    duration work{0};
};

/// A chain of services, the first one called by the entries, with the figures of section 1.3 of docs/design.md.
struct deployment {
    std::string name;
    std::vector<service_plan> chain;
    std::vector<node_location> domains;
    duration domain_latency{0};
    duration region_latency{0};
    duration client_latency{0};

    /// Requests per second that the narrowest service can run.
    double capacity() const;
};

deployment tambour();
deployment benali();

} // namespace mulberry
