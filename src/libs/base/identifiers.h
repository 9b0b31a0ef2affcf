#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace mulberry {

/// Identifies one run of a daemon. The name is unique in the fleet. The incarnation increases with every start of a
/// daemon under that name.
struct node_id {
    std::string name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const node_id&) const = default;
};

/// Location of a node. Failure domain names are unique across regions.
struct node_location {
    std::string failure_domain;
    std::string region;

    auto operator<=>(const node_location&) const = default;
};

/// Identifies one attempt of a call, uniquely in the fleet: the run of the sending node and a sequence number, which
/// starts at 1 in each run.
struct attempt_id {
    node_id sender;
    std::uint64_t sequence = 0;

    auto operator<=>(const attempt_id&) const = default;
};

/// Returns "name#incarnation".
std::string to_string(const node_id& id);

/// Returns "name#incarnation/sequence".
std::string to_string(const attempt_id& id);

} // namespace mulberry

template <>
struct std::hash<mulberry::node_id> {
    std::size_t operator()(const mulberry::node_id& id) const noexcept;
};

template <>
struct std::hash<mulberry::attempt_id> {
    std::size_t operator()(const mulberry::attempt_id& id) const noexcept;
};
