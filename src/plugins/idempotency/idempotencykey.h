#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/randomsource.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry {

/// The idempotency key of one non-idempotent request. It names the one node, in one incarnation, that may execute the
/// request, so that no other node has to be queried whether the request has already run.
struct idempotency_key {
    /// The node that owns the key and its record.
    node_id owner_node;
    /// The owner's epoch when the key was issued. The owner expires keys by epoch.
    std::uint64_t epoch = 0;
    /// 128 random bits in hexadecimal.
    std::string nonce;

    bool operator==(const idempotency_key&) const = default;
};

/// Creates a new key. The random source must have enough entropy to make the nonce unique.
idempotency_key make_idempotency_key(const node_id& owner_node, std::uint64_t epoch, random_source& random);

/// The text form that callers send, "v1.<node name>.<incarnation>.<epoch>.<nonce>".
std::string to_string(const idempotency_key& key);

/// Parses the output of to_string. Returns nullopt for any other text, including leading zeros and upper case, so that
/// each key has exactly one valid spelling.
std::optional<idempotency_key> parse_idempotency_key(std::string_view text);

} // namespace mulberry
