#pragma once

#include "libs/http/httpfields.h"
#include "plugins/calls/fieldnames.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mulberry {

/// What an upstream states about itself in the header of a response.
struct upstream_notice {
    /// Requests per second that the upstream accepts from all nodes together; empty if it names no limit.
    std::optional<double> rate_limit;
    /// Whether the upstream is leaving. In messages between nodes, the next members name the run of the upstream that
    /// is: its instance and its start in milliseconds since the Unix epoch.
    bool leaving = false;
    std::string instance{};
    std::int64_t instance_started_ms = 0;

    bool operator==(const upstream_notice&) const = default;
};

/// Reads the notice from the header of a response. Empty if a field is malformed.
std::optional<upstream_notice> read_upstream_notice(const http_headers& headers, const field_names& names);

} // namespace mulberry
