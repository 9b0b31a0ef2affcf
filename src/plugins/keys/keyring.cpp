#include "plugins/keys/keyring.h"

#include "libs/base/invariant.h"

#include <cstring>
#include <unordered_map>
#include <utility>

#include <sodium.h>

namespace mulberry {

namespace {

static_assert(key_salt_bytes >= crypto_generichash_KEYBYTES_MIN && key_salt_bytes <= crypto_generichash_KEYBYTES_MAX);
static_assert(key_hash_bytes >= crypto_generichash_BYTES_MIN && key_hash_bytes <= crypto_generichash_BYTES_MAX);

using salt_bytes = std::array<std::uint8_t, key_salt_bytes>;
using hash_bytes = std::array<std::uint8_t, key_hash_bytes>;

bool ensure_sodium_initialised()
{
    // sodium_init returns -1 on failure and may be called again.
    static const bool initialised = sodium_init() >= 0;
    return initialised;
}

bool is_length_allowed(std::string_view key)
{
    return key.size() >= min_key_bytes && key.size() <= max_key_bytes;
}

/// The salted hash of a key. The destructor wipes it, because it identifies the key.
class key_digest {
public:
    key_digest(std::string_view key, std::span<const std::uint8_t, key_salt_bytes> salt)
    {
        crypto_generichash(m_bytes.data(), m_bytes.size(), reinterpret_cast<const unsigned char*>(key.data()),
                           key.size(), salt.data(), salt.size());
    }
    key_digest(const key_digest&) = delete;
    key_digest& operator=(const key_digest&) = delete;
    ~key_digest() { sodium_memzero(m_bytes.data(), m_bytes.size()); }

    const hash_bytes& bytes() const { return m_bytes; }

private:
    hash_bytes m_bytes{};
};

/// Lookup index of a hash. The lookup time depends only on the salted hash, so it discloses nothing about the key.
std::uint64_t bucket_of(const hash_bytes& hash)
{
    std::uint64_t bucket = 0;
    std::memcpy(&bucket, hash.data(), sizeof bucket);
    return bucket;
}

} // namespace

std::string_view to_string(key_error error)
{
    switch (error) {
    case key_error::key_too_short:
        return "the key is too short";
    case key_error::key_too_long:
        return "the key is too long";
    case key_error::bad_salt:
        return "the salt has a wrong length";
    case key_error::bad_hash:
        return "the hash has a wrong length";
    case key_error::too_many_salts:
        return "the document has too many salts";
    case key_error::shared_key:
        return "one key belongs to two organisations";
    case key_error::library_failure:
        return "libsodium could not be initialised";
    }
    return "invalid";
}

class key_ring::key_index {
public:
    key_index() = default;
    key_index(const key_index&) = delete;
    key_index& operator=(const key_index&) = delete;
    ~key_index()
    {
        for (salted_keys& group : m_groups) {
            for (auto& [bucket, stored] : group.keys)
                sodium_memzero(stored.hash.data(), stored.hash.size());
        }
    }

    std::optional<key_error> add(const key_entry& entry)
    {
        if (entry.salt.size() != key_salt_bytes)
            return key_error::bad_salt;
        if (entry.hash.size() != key_hash_bytes)
            return key_error::bad_hash;
        salted_keys* group = find_or_add_group(entry.salt);
        if (group == nullptr)
            return key_error::too_many_salts;
        stored_key stored{{}, entry.organisation, false};
        std::memcpy(stored.hash.data(), entry.hash.data(), key_hash_bytes);
        const std::uint64_t bucket = bucket_of(stored.hash);
        const auto [begin, end] = group->keys.equal_range(bucket);
        for (auto it = begin; it != end; ++it) {
            if (it->second.hash != stored.hash)
                continue;
            it->second.is_shared = it->second.is_shared || it->second.organisation != stored.organisation;
            if (it->second.is_shared)
                return key_error::shared_key;
            return std::nullopt;
        }
        group->keys.emplace(bucket, std::move(stored));
        return std::nullopt;
    }

    const std::string* find(std::string_view key) const
    {
        const std::string* found = nullptr;
        for (const salted_keys& group : m_groups) {
            const key_digest digest(key, group.salt);
            const auto [begin, end] = group.keys.equal_range(bucket_of(digest.bytes()));
            for (auto it = begin; it != end; ++it) {
                const bool hash_matches =
                    sodium_memcmp(it->second.hash.data(), digest.bytes().data(), key_hash_bytes) == 0;
                if (hash_matches && !it->second.is_shared)
                    found = &it->second.organisation;
            }
        }
        return found;
    }

    std::size_t size() const
    {
        std::size_t total = 0;
        for (const salted_keys& group : m_groups)
            total += group.keys.size();
        return total;
    }

private:
    struct stored_key {
        hash_bytes hash{};
        std::string organisation;
        /// True if two organisations have the same key; such a key is not valid for any organisation.
        bool is_shared = false;
    };

    struct salted_keys {
        salt_bytes salt{};
        std::unordered_multimap<std::uint64_t, stored_key> keys;
    };

    salted_keys* find_or_add_group(std::span<const std::uint8_t> salt)
    {
        for (salted_keys& group : m_groups) {
            if (std::memcmp(group.salt.data(), salt.data(), key_salt_bytes) == 0)
                return &group;
        }
        if (m_groups.size() == max_key_salts)
            return nullptr;
        salted_keys& added = m_groups.emplace_back();
        std::memcpy(added.salt.data(), salt.data(), key_salt_bytes);
        return &added;
    }

    std::vector<salted_keys> m_groups;
};

key_ring::key_ring() : m_index(std::make_unique<key_index>()) {}

key_ring::~key_ring() = default;

leaf::result<void> key_ring::replace(std::span<const key_entry> entries)
{
    auto new_index = std::make_unique<key_index>();
    std::optional<key_error> first_error;
    if (!ensure_sodium_initialised())
        first_error = key_error::library_failure;
    for (const key_entry& entry : entries) {
        const std::optional<key_error> error = new_index->add(entry);
        if (error && !first_error)
            first_error = error;
    }
    m_index = std::move(new_index);
    if (first_error)
        return leaf::new_error(*first_error);
    return {};
}

std::optional<std::string> key_ring::organisation_of(std::string_view key) const
{
    if (!ensure_sodium_initialised() || !is_length_allowed(key))
        return std::nullopt;
    const std::string* organisation = m_index->find(key);
    if (organisation == nullptr)
        return std::nullopt;
    return *organisation;
}

bool key_ring::authorises(std::string_view key, std::string_view organisation) const
{
    const std::optional<std::string> owner = organisation_of(key);
    if (!owner)
        return false;
    return invariant_monitor::instance().check(*owner == organisation, invariant::key_authorised,
                                               "a request of one organisation was sent with the key of another");
}

std::size_t key_ring::size() const
{
    return m_index->size();
}

std::vector<std::uint8_t> generate_salt()
{
    std::vector<std::uint8_t> salt(key_salt_bytes);
    if (ensure_sodium_initialised())
        randombytes_buf(salt.data(), salt.size());
    return salt;
}

std::string generate_key()
{
    if (!ensure_sodium_initialised())
        return {};
    std::array<unsigned char, 32> raw{};
    randombytes_buf(raw.data(), raw.size());
    std::string key(sodium_base64_ENCODED_LEN(raw.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING), '\0');
    sodium_bin2base64(key.data(), key.size(), raw.data(), raw.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    sodium_memzero(raw.data(), raw.size());
    key.pop_back(); // terminating zero of sodium_bin2base64
    return key;
}

leaf::result<key_entry> make_key_entry(std::string_view organisation, std::string_view id, std::string_view key,
                                       std::span<const std::uint8_t> salt)
{
    if (!ensure_sodium_initialised())
        return leaf::new_error(key_error::library_failure);
    if (key.size() < min_key_bytes)
        return leaf::new_error(key_error::key_too_short);
    if (key.size() > max_key_bytes)
        return leaf::new_error(key_error::key_too_long);
    if (salt.size() != key_salt_bytes)
        return leaf::new_error(key_error::bad_salt);
    const key_digest digest(key, salt.first<key_salt_bytes>());
    key_entry entry{std::string(organisation), std::string(id), {salt.begin(), salt.end()}, {}};
    entry.hash.assign(digest.bytes().begin(), digest.bytes().end());
    return entry;
}

void wipe(std::string& secret)
{
    sodium_memzero(secret.data(), secret.size());
    secret.clear();
}

} // namespace mulberry
