#pragma once

#include "libs/base/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf.hpp>

namespace mulberry {

namespace leaf = boost::leaf;

/// Errors of the store layer.
enum class store_error : std::uint8_t {
    unavailable,     // not reached, or refused without effect
    unknown_outcome, // a write may have taken effect; read back to find out
    bad_answer,      // the answer could not be understood; a write may have taken effect
    too_large,       // value above max_value_bytes, nothing written
    no_such_lease,   // the lease has lapsed or was never granted
};

std::string_view to_string(store_error error);

constexpr std::size_t max_value_bytes = 1'000'000;

using lease_id = std::int64_t;
using watch_id = std::uint64_t;

/// A key with its value. mod_revision is the store's revision at the last write of this key; it is at least 1.
struct store_entry {
    std::string key;
    std::string value;
    std::int64_t mod_revision = 0;
};

/// Entries in key order with the store's revision at the time of the read.
struct range_result {
    std::vector<store_entry> entries;
    std::int64_t revision = 0;
};

/// Result of a conditional write. When not applied, `current` is the entry in force, empty if the key does not exist.
struct put_result {
    bool applied = false;
    std::int64_t revision = 0;
    std::optional<store_entry> current;
};

/// A change seen by a watch. A deletion has an empty value and `deleted` set; its mod_revision is that of the deletion.
struct watch_event {
    store_entry entry;
    bool deleted = false;
};

/// Events in revision order, or an error after which the watch has ended and must be set up anew.
using watch_callback = std::function<void(leaf::result<std::vector<watch_event>>)>;

/// The platform's key-value service. Calls return at once; each callback comes exactly once, later, on the caller's
/// event loop. Errors are of type store_error.
class key_value_store {
public:
    key_value_store() = default;
    key_value_store(const key_value_store&) = delete;
    key_value_store& operator=(const key_value_store&) = delete;
    virtual ~key_value_store() = default;

    /// Reads one key; the result has at most one entry.
    virtual void get(std::string_view key, std::function<void(leaf::result<range_result>)> done) = 0;

    /// Reads all keys with a prefix.
    virtual void range(std::string_view prefix, std::function<void(leaf::result<range_result>)> done) = 0;

    /// Writes if the key's mod_revision equals the expected one; 0 expects that the key does not exist. A lease of 0
    /// means that the key does not expire.
    virtual void put_if(std::string_view key, std::int64_t expected_mod_revision, std::string value, lease_id lease,
                        std::function<void(leaf::result<put_result>)> done) = 0;

    /// Deletes if the key's mod_revision equals the expected one.
    virtual void remove_if(std::string_view key, std::int64_t expected_mod_revision,
                           std::function<void(leaf::result<put_result>)> done) = 0;

    virtual void grant_lease(duration ttl, std::function<void(leaf::result<lease_id>)> done) = 0;
    virtual void keep_alive(lease_id lease, std::function<void(leaf::result<void>)> done) = 0;

    /// Reports changes of keys with the prefix whose revision is at least from_revision.
    virtual watch_id watch(std::string_view prefix, std::int64_t from_revision, watch_callback on_change) = 0;
    virtual void cancel_watch(watch_id id) = 0;

    /// The latest time up to which a watch is known to have reported every change; empty if the store cannot tell.
    virtual std::optional<time_point> watch_confirmed(watch_id /*id*/) const { return std::nullopt; }
};

} // namespace mulberry
