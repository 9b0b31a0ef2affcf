#pragma once

#include "plugins/shares/tokenbucket.h"

#include <map>
#include <string>

namespace mulberry::shares {

/// Load and locked share that one failure domain reports for one organisation.
struct domain_demand {
    /// Offered load in micro-tokens per second.
    micro_tokens demand = 0;
    /// Share units that no node can use until the lease of an earlier coordinator has expired.
    share_units locked = 0;
};

/// Minimum share of a listed domain: 10% of an equal division, but at least the equivalent of two requests of the burst
/// if an equal division allows that, because a share below one request admits nothing.
share_units domain_floor(const rate_limit& limits, std::size_t domains);

/// Divides a rate limit among the listed domains by demand. Each domain gets its minimum share, then its demand as far
/// as the rate limit allows (the largest demands are reduced first), then a portion of the remainder in proportion to
/// its demand. The result counts usable units only.
std::map<std::string, share_units> domain_targets(const rate_limit& limits,
                                                  const std::map<std::string, domain_demand>& domains);

} // namespace mulberry::shares
