#pragma once

#include "libs/base/time.h"
#include "plugins/membership/memberchange.h"

#include <array>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mulberry::detail {

/// Allows look-ups by std::string_view in an unordered map with std::string keys.
struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view>{}(text); }
};

template <typename Value>
using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

/// Number of buckets into which names are hashed, so that anti-entropy exchanges only the records of differing buckets.
constexpr std::size_t digest_buckets = 64;
using bucket_hashes = std::array<std::uint32_t, digest_buckets>;

/// The members that are not dead, with their digest, and the tombstones of dead members.
class member_table {
public:
    struct state {
        std::string service;
        std::uint64_t version_number = 0;
        /// Time at which the suspicion expires; empty if the member is not suspected.
        std::optional<time_point> suspected_until;
        /// Number of probes sent since the suspicion first expired.
        unsigned final_probes = 0;
    };
    /// Remembers a dead member, so that older records of it received later don't add it again.
    struct tombstone {
        record_version version;
        std::string address;
        time_point expires_at{};
    };

    std::span<const member> members() const { return m_members; }
    std::span<const member> members_of(std::string_view service) const;
    const member* find(std::string_view name) const;
    /// State of the member, or null if find() returns null for it.
    const state* find_state(std::string_view name) const;
    record_version version_of(const member& known) const;

    /// Inserts or replaces a record and removes its suspicion.
    void put(const member& record, std::uint64_t version_number);
    void set_epoch(std::string_view name, std::uint64_t epoch);
    /// Sets or replaces the suspicion of a member.
    void set_suspicion(std::string_view name, time_point until);
    /// Sets a new end of the suspicion and counts a final probe.
    void extend_suspicion(std::string_view name, time_point until);
    /// Postpones the end of every suspicion, after the own process was paused.
    void postpone_suspicions(duration by);
    /// Names of the members whose suspicion has expired, in alphabetical order.
    std::vector<std::string> expired_suspicions(time_point now) const;
    /// Removes a member, which must exist; returns its last record.
    member remove(std::string_view name);

    void add_tombstone(std::string_view name, tombstone added);
    const tombstone* find_tombstone(std::string_view name) const;
    void remove_tombstone(std::string_view name);
    const text_map<tombstone>& tombstones() const { return m_tombstones; }
    /// Removes expired tombstones and returns their names and addresses.
    std::vector<member_seed> expire_tombstones(time_point now);

    /// Hash of the records of each bucket.
    const bucket_hashes& buckets() const { return m_buckets; }
    /// Hash of all records.
    std::uint64_t digest() const;
    static std::size_t bucket_of(std::string_view name);

private:
    std::vector<member>::iterator position_of(std::string_view service, std::string_view name);
    /// Adds the record to the hash of its bucket, or removes it if it was added before.
    void toggle_digest(const member& record, std::uint64_t version_number);

    std::vector<member> m_members;
    text_map<state> m_states;
    text_map<tombstone> m_tombstones;
    std::size_t m_suspected_count = 0;
    bucket_hashes m_buckets{};
};

} // namespace mulberry::detail
