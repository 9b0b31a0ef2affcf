#pragma once

#include "plugins/membership/member.h"
#include "plugins/membership/messages.pb.h"

#include <compare>
#include <optional>

namespace mulberry::detail {

/// Orders the records of one name. The number increases with each change or refutation within an incarnation.
struct record_version {
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    // clang-tidy 14 mistakes the zero in comparisons that use this operator for a null pointer.
    auto operator<=>(const record_version&) const = default; // NOLINT(modernize-use-nullptr)
};

enum class member_status : std::uint8_t { alive = 1, suspected = 2, dead = 3 };

/// The status of a member at a version of its record, as one node reports it to others. Only an alive change has a full
/// record; in others only the name and incarnation are set.
struct member_change {
    member record;
    std::uint64_t version_number = 0;
    member_status status = member_status::alive;

    record_version version() const { return {record.id.incarnation, version_number}; }
};

/// Limits for values received from other nodes; changes beyond them are rejected.
constexpr std::size_t max_text_bytes = 255;
constexpr std::uint64_t max_version_number = std::uint64_t{1} << 62;

void encode(const member_change& change, membership_messages::member_change& out);
std::string encode(const member_change& change);
/// Empty if a field is outside its limits.
std::optional<member_change> decode(const membership_messages::member_change& in);

} // namespace mulberry::detail
