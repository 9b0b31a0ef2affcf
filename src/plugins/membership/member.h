#pragma once

#include "libs/base/identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace mulberry {

/// Lifecycle state of a member. Within one incarnation it only changes to a higher value.
enum class member_state : std::uint8_t { starting = 1, serving = 2, leaving = 3, dead = 4 };

std::string_view to_string(member_state state);

/// A node of the fleet and the upstream beside it. The address is "host:port" of the node's peer listener.
struct member {
    node_id id;
    std::string service;
    std::string address;
    node_location location;
    member_state state = member_state::starting;
    /// The node's epoch for idempotency keys. The value that other nodes have may be older by up to one probe round,
    /// the time in which a node probes every member once.
    std::uint64_t once_epoch = 0;

    /// Instance, number of slots and start time (Unix time in milliseconds) of the upstream beside the node, so that a
    /// restarted node has them at once. Empty and 0 if there is no upstream; 0 slots if it is leaving.
    std::string instance{};
    std::uint32_t slots = 0;
    std::int64_t instance_started_ms = 0;
    /// Whether that upstream has announced that it is leaving. A restarted node must not put it back into service when
    /// a delayed announcement arrives.
    bool upstream_leaving = false;
    /// Increases with each change of the record within one incarnation. Used where records have no other order.
    std::uint64_t sequence = 0;

    bool operator==(const member&) const = default;
};

/// Name and address of a node that can be contacted before it is known as a member.
struct member_seed {
    std::string name;
    std::string address;

    bool operator==(const member_seed&) const = default;
};

} // namespace mulberry
