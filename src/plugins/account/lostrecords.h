#pragma once

#include "plugins/account/decisionrecord.h"

namespace mulberry {

/// Records of a node that are gone: between the times, `records` are missing, or an unknown number if it is 0.
struct lost_records {
    std::string node;
    wall_time from{};
    wall_time until{};
    std::uint64_t records = 0;
    /// Whether refused, unknown or non-idempotent records are among them.
    bool protected_lost = false;

    bool operator==(const lost_records&) const = default;

    /// Extends the range by another one.
    void add(const lost_records& other);
};

} // namespace mulberry
