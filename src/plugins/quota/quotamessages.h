#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// Tokens of one organisation.
struct quota_amount {
    std::string organisation;
    std::uint32_t tokens = 0;
};

/// From a node to the keeper: what it wants. An empty report says only that the node is alive.
struct quota_report {
    std::uint64_t sequence = 0;
    std::vector<quota_amount> wanted;
};

/// From the keeper: what the node may use. Organisations that were asked for and are missing get nothing now.
struct quota_grant {
    std::uint64_t sequence = 0;
    std::vector<quota_amount> granted;
};

std::string encode(const quota_report& report);
std::string encode(const quota_grant& grant);

enum class quota_message_kind : std::uint8_t { report = 1, grant = 2 };

/// The kind of a payload; empty if it is no message of this slice.
std::optional<quota_message_kind> kind_of(std::string_view payload);
std::optional<quota_report> decode_quota_report(std::string_view payload);
std::optional<quota_grant> decode_quota_grant(std::string_view payload);

} // namespace mulberry
