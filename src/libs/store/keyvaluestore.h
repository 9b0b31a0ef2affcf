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
    unavailable,     // not reached, or the store rejected the request without any effect
    unknown_outcome, // a write may have taken effect; the caller has to read the key to find out
    bad_answer,      // the response violates the protocol; a write may have taken effect
    too_large,       // the value exceeds max_value_bytes; nothing was written
    no_such_lease,   // the lease has expired or was never granted
};

std::string_view to_string(store_error error);

constexpr std::size_t max_value_bytes = 1'000'000;

using lease_id = std::int64_t;
using watch_id = std::uint64_t;

/// A key with its value. mod_revision is the store's revision at the last write of this key, which is at least 1.
struct store_entry {
    std::string key;
    std::string value;
    std::int64_t mod_revision = 0;
};

/// Entries in the order of their keys, with the store's revision at the time of the read.
struct range_result {
    std::vector<store_entry> entries;
    std::int64_t revision = 0;
    /// The entries are those of the store at the time of the request, or at most this time before it.
    duration age{0};
};

/// Result of a conditional write. If the condition failed, `applied` is false and `current` is the store's entry, which
/// is empty if the key does not exist.
struct put_result {
    bool applied = false;
    std::int64_t revision = 0;
    std::optional<store_entry> current;
};

/// A change that a watch reports. A deletion has `deleted` set, an empty value and the revision of the deletion.
struct watch_event {
    store_entry entry;
    bool deleted = false;
};

/// Receives events in the order of their revisions, or an error. An error ends the watch; the caller has to start a new
/// one.
using watch_callback = std::function<void(leaf::result<std::vector<watch_event>>)>;

/// Interface of the key-value store. Calls return immediately. Each callback runs exactly once, after the call has
/// returned, on the caller's event loop. Errors are of type store_error.
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

    /// Writes the key if its mod_revision equals the expected one; an expected revision of 0 means that the key must
    /// not exist. With a lease of 0 the key does not expire.
    virtual void put_if(std::string_view key, std::int64_t expected_mod_revision, std::string value, lease_id lease,
                        std::function<void(leaf::result<put_result>)> done) = 0;

    /// Deletes the key if its mod_revision equals the expected one.
    virtual void remove_if(std::string_view key, std::int64_t expected_mod_revision,
                           std::function<void(leaf::result<put_result>)> done) = 0;

    /// Creates a lease. Keys written with it are deleted when it expires.
    virtual void grant_lease(duration ttl, std::function<void(leaf::result<lease_id>)> done) = 0;
    /// Renews a lease: its full time starts again.
    virtual void keep_alive(lease_id lease, std::function<void(leaf::result<void>)> done) = 0;

    /// Starts to report the changes of keys with the prefix whose revision is at least from_revision.
    virtual watch_id watch(std::string_view prefix, std::int64_t from_revision, watch_callback on_change) = 0;
    virtual void cancel_watch(watch_id id) = 0;

    /// The latest time up to which a watch is known to have reported every change; empty if the store does not provide
    /// it.
    virtual std::optional<time_point> watch_confirmed_until(watch_id /*id*/) const { return std::nullopt; }
    /// Whether changes for a watch are arriving at present. A large entry takes seconds over a narrow link.
    virtual bool watch_is_receiving(watch_id /*id*/) const { return false; }
};

} // namespace mulberry
