#pragma once

#include "plugins/account/decisionrecord.h"

namespace mulberry {

/// Records of a node that are no longer available. `records` is the number that is missing between the two times, or 0
/// if the number is unknown.
struct lost_records {
    std::string node;
    wall_time from{};
    wall_time until{};
    std::uint64_t records = 0;
    /// Whether some of them were records of refusals, unknown outcomes or non-idempotent requests, which are evicted
    /// last.
    bool protected_lost = false;

    bool operator==(const lost_records&) const = default;

    /// Extends this range to include the other one.
    void add(const lost_records& other);
};

} // namespace mulberry
