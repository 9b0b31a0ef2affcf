#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry {

constexpr std::size_t key_salt_bytes = 16;
constexpr std::size_t key_hash_bytes = 32;

using key_salt = std::array<std::uint8_t, key_salt_bytes>;
using key_hash = std::array<std::uint8_t, key_hash_bytes>;

/// What the organisations document holds of a key. The id is unique in the document and is no secret.
struct organisation_key {
    std::string id;
    key_salt salt{};
    key_hash hash{};

    bool operator==(const organisation_key&) const = default;
};

/// A new key: the text that the organisation sends, shown once, and the part that is kept.
struct generated_key {
    std::string text;
    organisation_key kept;
};

/// Makes a key "<id>.<secret>" with 64 random bits of id and 256 random bits of secret, both in lower-case hex.
generated_key generate_organisation_key();

/// Hash of the whole key text, keyed by the salt (libsodium generic hash).
key_hash hash_key_text(std::string_view key_text, const key_salt& salt);

/// The id before the dot of a key text; empty if the text does not have the form of a key.
std::optional<std::string_view> key_id_of(std::string_view key_text);

/// Compares in a time that does not depend on the content.
bool equal_hashes(const key_hash& left, const key_hash& right);

} // namespace mulberry
