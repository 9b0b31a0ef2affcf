#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mulberry::shares {

/// What the slice is told about its node and the lengths of its leases. The defaults are those of docs/design.md.
struct share_settings {
    node_id node;
    std::string failure_domain;
    /// All failure domains of the fleet, this node's own included; called at every change of the pool. Without it, the
    /// own domain is the only one.
    std::function<std::vector<std::string>()> failure_domains;
    /// Number of pool documents; all nodes must use the same number.
    std::uint32_t groups = 1;

    /// How long a request waits for a grant before it is refused. A token borrowed from the other region takes about
    /// 41 ms; with 20 ms only the tokens of the own region could be used.
    duration grant_wait = std::chrono::milliseconds(60);
    /// How long a request waits instead while the keeper changes. A planned stop of the keeper would otherwise refuse
    /// requests that are within the rate.
    duration keeper_change_wait = std::chrono::milliseconds(500);
    /// Interval of a node's reports to its keeper.
    duration report_interval = std::chrono::seconds(10);
    duration grant_lease = std::chrono::minutes(5);
    duration pool_renewal = std::chrono::seconds(60);
    /// Outlasts an hour of partition between the regions.
    duration pool_lease = std::chrono::minutes(75);
    /// A keeper that has not answered for so long is replaced even if membership says nothing, because a node that
    /// joined after the keeper's death is not told of it.
    duration keeper_silence = std::chrono::seconds(45);
    /// Longest time that a planned stop waits for the keeper and the store.
    duration drain_limit = std::chrono::seconds(3);
};

/// Time added by a lender to the length of a lease, because clocks run at different speeds: 1% plus 1 s.
constexpr duration drift_allowance(duration lease)
{
    return lease / 100 + std::chrono::seconds(1);
}

/// Longest lease that, with its drift allowance, ends within the interval; zero if there is none.
constexpr duration lease_within(duration interval)
{
    const duration length = (interval - std::chrono::seconds(1)) * 100 / 101 - duration{1};
    return length > duration{0} ? length : duration{0};
}

} // namespace mulberry::shares
