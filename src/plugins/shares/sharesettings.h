#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mulberry::shares {

/// Identity of the node and durations of its leases. The defaults are those of docs/design.md.
struct share_settings {
    node_id node;
    std::string failure_domain;
    /// Returns all failure domains of the fleet, including the node's own; called whenever the pool changes. If unset,
    /// the node's own domain is the only one.
    std::function<std::vector<std::string>()> failure_domains;
    /// Number of pool documents; all nodes must use the same number.
    std::uint32_t groups = 1;

    /// Time that a request waits for a grant before it is refused. A token from the other region takes about 41 ms to
    /// arrive; with 20 ms, only tokens of the node's own region could be used.
    duration grant_wait = std::chrono::milliseconds(60);
    /// Time that a request waits instead while the coordinator changes. Otherwise a planned stop of the coordinator
    /// would refuse requests that are within the rate.
    duration coordinator_change_wait = std::chrono::milliseconds(500);
    /// Interval of a node's reports to its coordinator.
    duration report_interval = std::chrono::seconds(10);
    duration grant_lease = std::chrono::minutes(5);
    duration pool_renewal = std::chrono::seconds(60);
    /// Long enough to outlast a one-hour partition between the regions.
    duration pool_lease = std::chrono::minutes(75);
    /// A coordinator that has not responded for this time is replaced even without a report from membership, because a
    /// node that joined after the coordinator's death does not receive that report.
    duration coordinator_timeout = std::chrono::seconds(45);
    /// Maximum time that a planned stop waits for the coordinator and the store.
    duration drain_limit = std::chrono::seconds(3);
};

/// Time that the grantor of a lease adds to its length, because clocks run at different speeds: 1% plus 1 s.
constexpr duration drift_allowance(duration lease)
{
    return lease / 100 + std::chrono::seconds(1);
}

/// Longest lease that ends within the interval including its drift allowance; zero if there is none.
constexpr duration lease_within(duration interval)
{
    const duration length = (interval - std::chrono::seconds(1)) * 100 / 101 - duration{1};
    return length > duration{0} ? length : duration{0};
}

} // namespace mulberry::shares
