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

/// Errors of this slice.
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
/// Hashes are fast to compute, so a key must be too long to guess; generate_key makes 43 characters.
constexpr std::size_t min_key_bytes = 24;
constexpr std::size_t max_key_bytes = 256;
/// A check computes one hash per salt. The tool uses one salt per document; more occur while a salt is replaced.
constexpr std::size_t max_key_salts = 16;

/// A key in the organisations document, without the key itself.
struct key_entry {
    std::string organisation;
    std::string id;
    std::vector<std::uint8_t> salt;
    std::vector<std::uint8_t> hash;

    bool operator==(const key_entry&) const = default;
};

/// Maps callers' keys to organisations. The keys themselves are neither stored nor logged.
class key_ring {
public:
    key_ring();
    ~key_ring();
    key_ring(const key_ring&) = delete;
    key_ring& operator=(const key_ring&) = delete;

    /// Puts a new set of keys in force at once. An entry with an error is left out and the first error is returned: to
    /// keep the old set would leave withdrawn keys in force.
    leaf::result<void> replace(std::span<const key_entry> entries);

    /// The organisation of a key, or empty if the key is unknown or withdrawn.
    std::optional<std::string> organisation_of(std::string_view key) const;

    /// Asserted by the entry right before a request runs: false if the key does not give this organisation. A key of
    /// another organisation counts as a violation of key_authorised; a withdrawn one does not.
    bool authorises(std::string_view key, std::string_view organisation) const;

    /// Number of keys in force.
    std::size_t size() const;

private:
    class key_index;
    std::unique_ptr<const key_index> m_index;
};

/// A salt for a new document.
std::vector<std::uint8_t> generate_salt();
/// A random key of 43 characters (256 bits in URL-safe base64). The caller wipes it after use.
std::string generate_key();
/// The entry for a key; use the salt of the document's other entries.
leaf::result<key_entry> make_key_entry(std::string_view organisation, std::string_view id, std::string_view key,
                                       std::span<const std::uint8_t> salt);
/// Overwrites the characters and empties the string.
void wipe(std::string& secret);

} // namespace mulberry
