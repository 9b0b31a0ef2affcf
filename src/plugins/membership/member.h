#pragma once

#include "libs/base/identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace mulberry {

/// What a member does; a later value within one incarnation never goes back to an earlier one.
enum class member_state : std::uint8_t { starting = 1, serving = 2, leaving = 3, dead = 4 };

std::string_view to_string(member_state state);

/// A node of the fleet with the upstream beside it. The address is "host:port" of the node's peer listener.
struct member {
    node_id id;
    std::string service;
    std::string address;
    node_location location;
    member_state state = member_state::starting;
    /// The node's own epoch for idempotency keys; the known value may lag behind by up to one probe round of the fleet.
    std::uint64_t once_epoch = 0;

    /// Instance and slots of the upstream beside the node, so that a node that starts again knows it at once. Empty if
    /// there is none that takes work.
    std::string instance{};
    std::uint32_t slots = 0;
    std::int64_t instance_born_ms = 0;

    bool operator==(const member&) const = default;
};

/// Where a node can be contacted before it is known as a member.
struct member_seed {
    std::string name;
    std::string address;

    bool operator==(const member_seed&) const = default;
};

} // namespace mulberry
