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

struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view>{}(text); }
};

template <typename Value>
using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

constexpr std::size_t digest_buckets = 64;
using bucket_hashes = std::array<std::uint32_t, digest_buckets>;

/// The members that are not dead, tombstones of those that are, and a digest of the former.
class member_table {
public:
    struct state {
        std::string service;
        std::uint64_t version_number = 0;
        /// When a suspected member is declared dead.
        std::optional<time_point> suspected_until;
        /// Probes sent since the suspicion first ended.
        unsigned final_probes = 0;
    };
    struct tombstone {
        record_version version;
        std::string address;
        time_point until{};
    };

    std::span<const member> members() const { return m_members; }
    std::span<const member> members_of(std::string_view service) const;
    const member* find(std::string_view name) const;
    /// State of a member that find() knows, or null.
    const state* state_of(std::string_view name) const;
    record_version version_of(const member& known) const;

    /// Inserts or replaces a record and ends its suspicion.
    void put(const member& record, std::uint64_t version_number);
    void set_epoch(std::string_view name, std::uint64_t epoch);
    void suspect(std::string_view name, time_point until);
    /// Gives a suspected member more time and counts a final probe.
    void extend_suspicion(std::string_view name, time_point until);
    /// Moves the end of every suspicion, after the own process was paused.
    void postpone_suspicions(duration by);
    /// Names whose suspicion has ended by now.
    std::vector<std::string> overdue(time_point now) const;
    /// Removes a member; returns its last record.
    member remove(std::string_view name);

    void bury(std::string_view name, tombstone mark);
    const tombstone* tombstone_of(std::string_view name) const;
    void unbury(std::string_view name);
    const text_map<tombstone>& tombstones() const { return m_tombstones; }
    /// Removes tombstones that have ended and returns their names with addresses.
    std::vector<member_seed> expire_tombstones(time_point now);

    const bucket_hashes& buckets() const { return m_buckets; }
    std::uint64_t digest() const;
    static std::size_t bucket_of(std::string_view name);

private:
    std::vector<member>::iterator position_of(std::string_view service, std::string_view name);
    void toggle_digest(const member& record, std::uint64_t version_number);

    std::vector<member> m_members;
    text_map<state> m_states;
    text_map<tombstone> m_tombstones;
    std::size_t m_suspected = 0;
    bucket_hashes m_buckets{};
};

} // namespace mulberry::detail
