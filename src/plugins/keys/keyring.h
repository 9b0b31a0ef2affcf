#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf.hpp>

namespace mulberry {

namespace leaf = boost::leaf;

/// Errors of key entries and key sets.
enum class key_error : std::uint8_t {
    key_too_short,   // fewer than min_key_bytes bytes
    key_too_long,    // more than max_key_bytes bytes
    bad_salt,        // not key_salt_bytes bytes
    bad_hash,        // not key_hash_bytes bytes
    too_many_salts,  // more than max_key_salts different salts
    shared_key,      // one key belongs to two organisations
    library_failure, // libsodium could not be initialised
};

std::string_view to_string(key_error error);

constexpr std::size_t key_salt_bytes = 16;
constexpr std::size_t key_hash_bytes = 32;
/// The hash is fast to compute, so a key must be long enough to resist guessing. generate_key returns 43 characters.
constexpr std::size_t min_key_bytes = 24;
constexpr std::size_t max_key_bytes = 256;
/// Limits the cost of a key check, which computes one hash per salt. The command-line tool uses one salt per document;
/// several occur only while a salt is being replaced.
constexpr std::size_t max_key_salts = 16;

/// Entry of a key in the organisations document. It contains the salted hash instead of the key.
struct key_entry {
    std::string organisation;
    std::string id;
    std::vector<std::uint8_t> salt;
    std::vector<std::uint8_t> hash;

    bool operator==(const key_entry&) const = default;
};

/// Maps the keys of callers to organisations. The keys themselves are neither stored nor logged.
class key_ring {
public:
    key_ring();
    ~key_ring();
    key_ring(const key_ring&) = delete;
    key_ring& operator=(const key_ring&) = delete;

    /// Replaces the set of valid keys, with immediate effect. Entries with errors are skipped, and the first error is
    /// returned. The new set takes effect even then, because retaining the old one would leave revoked keys valid.
    leaf::result<void> replace(std::span<const key_entry> entries);

    /// The organisation of a key; empty if the key is unknown or revoked.
    std::optional<std::string> organisation_of(std::string_view key) const;

    /// Returns true if the key belongs to this organisation. The entry checks this immediately before it runs a
    /// request. A key of another organisation is a violation of the invariant key_authorised; a revoked key is not.
    bool authorises(std::string_view key, std::string_view organisation) const;

    /// Number of valid keys.
    std::size_t size() const;

private:
    class key_index;
    std::unique_ptr<const key_index> m_index;
};

/// Generates a salt for a new document.
std::vector<std::uint8_t> generate_salt();
/// Generates a random key of 43 characters (256 bits in URL-safe base64). The caller must wipe it after use.
std::string generate_key();
/// Creates the document entry for a key. The salt should be that of the document's other entries.
leaf::result<key_entry> make_key_entry(std::string_view organisation, std::string_view id, std::string_view key,
                                       std::span<const std::uint8_t> salt);
/// Overwrites the characters and clears the string.
void wipe(std::string& secret);

} // namespace mulberry
