#pragma once

#include "plugins/shares/tokenbucket.h"

#include <map>
#include <string>

namespace mulberry::shares {

/// What one failure domain says about one organisation.
struct domain_demand {
    /// Offered load, micro-tokens per second.
    micro_tokens demand = 0;
    /// Part that no holder can use.
    parts locked = 0;
};

/// Least share of a listed domain: 10% of the figure divided equally, but at least two requests of the burst where the
/// burst allows it, because a share below one request admits nothing.
parts domain_floor(const figure& limits, std::size_t domains);

/// Divides a figure among the listed domains by demand: each gets its floor, then its demand as far as the figure goes
/// (the largest are cut first), then the rest in proportion to demand. The result counts usable parts only.
std::map<std::string, parts> domain_targets(const figure& limits, const std::map<std::string, domain_demand>& domains);

} // namespace mulberry::shares
