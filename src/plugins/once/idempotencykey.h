#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/randomsource.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry {

/// A key for one non-idempotent request. It names the only node run that may execute the request, so no other node has
/// to be asked whether the request ran already.
struct idempotency_key {
    node_id home;
    /// The home's epoch when the key was issued; the home forgets keys by epoch.
    std::uint64_t epoch = 0;
    /// 128 random bits in hexadecimal.
    std::string nonce;

    bool operator==(const idempotency_key&) const = default;
};

/// Makes a key that no other call has made, given a random source with enough entropy.
idempotency_key make_idempotency_key(const node_id& home, std::uint64_t epoch, random_source& random);

/// The form that callers send back, "v1.<home>.<incarnation>.<epoch>.<nonce>".
std::string to_string(const idempotency_key& key);

/// Inverse of to_string. Empty for any other text, also for one with superfluous zeros or upper case, so that one key
/// has one spelling.
std::optional<idempotency_key> parse_idempotency_key(std::string_view text);

} // namespace mulberry
