#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mulberry::shares {

/// A node's share of one organisation's rate limit, in requests per second and requests.
struct organisation_status {
    std::string organisation;
    double held_rate = 0;
    double held_capacity = 0;
    double level = 0;
    /// Offered requests per second at this node.
    double demand = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
};

/// A coordinator's share of one organisation's rate limit, as fractions from 0 to 1. All zero without a valid lease.
struct domain_share_status {
    std::string organisation;
    double total = 0;
    double free_rate = 0;
    double free_capacity = 0;
    double locked = 0;
};

/// State of one pool document as this node has read it.
struct group_status {
    std::string keeper;
    std::uint64_t epoch = 0;
    bool is_coordinator = false;
    std::uint64_t store_calls = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_rejected = 0;
    std::vector<domain_share_status> domain_shares;
};

/// Values for metrics and for the operators' status pages.
struct share_status {
    std::vector<organisation_status> organisations;
    std::vector<group_status> groups;
};

} // namespace mulberry::shares
