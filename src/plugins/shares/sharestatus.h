#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mulberry::shares {

/// What a node holds of one organisation's figure, in requests per second and requests.
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

/// The keeper's side of one organisation, in parts of the organisation's figure from 0 to 1. Zero without a lease.
struct kept_status {
    std::string organisation;
    double total = 0;
    double free_rate = 0;
    double free_capacity = 0;
    double locked = 0;
};

/// One pool document as this node sees it.
struct group_status {
    std::string keeper;
    std::uint64_t epoch = 0;
    bool is_keeper = false;
    std::uint64_t store_calls = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_rejected = 0;
    std::vector<kept_status> kept;
};

/// Figures for the metrics.
struct share_status {
    std::vector<organisation_status> organisations;
    std::vector<group_status> groups;
};

} // namespace mulberry::shares
