#pragma once

#include "libs/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// A number of tokens of one organisation.
struct quota_amount {
    std::string organisation;
    std::uint32_t tokens = 0;
    /// In a grant: the tokens that are left in the coordinator's bucket, rounded down. In a report to a new
    /// coordinator: the level that an earlier coordinator named in its last grant. Empty if unknown.
    std::optional<std::uint32_t> level{};
};

/// Sent by a node to the coordinator to request tokens. A report without requests only shows that the node is alive.
struct quota_report {
    std::uint64_t sequence = 0;
    std::vector<quota_amount> requested_amounts;
    /// Time since the node sent the oldest of its reports that have no answer yet; 0 if all have one. The node may use
    /// its even share if this is long, although its reports arrive.
    duration unanswered_for{0};
};

/// Response of the coordinator with the tokens that the node may use. An organisation that was in the report and is
/// missing here gets no tokens for now.
struct quota_grant {
    std::uint64_t sequence = 0;
    std::vector<quota_amount> granted_amounts;
};

std::string encode(const quota_report& report);
std::string encode(const quota_grant& grant);

enum class quota_message_kind : std::uint8_t { report = 1, grant = 2 };

/// Returns the kind of a payload; empty if the payload is not a quota message.
std::optional<quota_message_kind> kind_of(std::string_view payload);
std::optional<quota_report> decode_quota_report(std::string_view payload);
std::optional<quota_grant> decode_quota_grant(std::string_view payload);

} // namespace mulberry
