#pragma once

#include "libs/base/randomsource.h"
#include "libs/base/timerservice.h"
#include "libs/store/keyvaluestore.h"

#include <memory>
#include <span>
#include <string>

namespace mulberry {

/// Receives the entries and changes that a store_follower reads.
class store_follower_listener {
public:
    store_follower_listener() = default;
    store_follower_listener(const store_follower_listener&) = delete;
    store_follower_listener& operator=(const store_follower_listener&) = delete;
    virtual ~store_follower_listener() = default;

    /// Called with all entries that have the prefix, as of a revision of the store. Entries of earlier revisions that
    /// are not among them have been deleted.
    virtual void on_snapshot(std::span<const store_entry> entries, std::int64_t revision) = 0;
    virtual void on_changes(std::span<const watch_event> events) = 0;
};

/// Reports the keys with a prefix and their changes to a listener: reads all of them and then watches for changes. When
/// the store fails or has discarded the history, it starts again after a growing delay with jitter.
class store_follower {
public:
    store_follower(timer_service& timers, random_source& random, key_value_store& store, std::string prefix,
                   store_follower_listener& listener);
    store_follower(const store_follower&) = delete;
    store_follower& operator=(const store_follower&) = delete;
    ~store_follower();

    void start();

    /// The latest time up to which all changes are known to have been reported; empty before the first snapshot.
    std::optional<time_point> confirmed_until() const;
    /// True while a watch is open.
    bool is_watching() const { return m_watch_id != 0; }

private:
    void read_snapshot();
    void on_snapshot_read(time_point request_time, leaf::result<range_result> result);
    void watch(std::int64_t from_revision);
    void schedule_retry();

    timer_service& m_timers;
    random_source& m_random;
    key_value_store& m_store;
    std::string m_prefix;
    store_follower_listener& m_listener;
    std::optional<time_point> m_snapshot_requested_at;
    std::optional<time_point> m_watch_confirmed_until;
    watch_id m_watch_id = 0;
    timer_id m_retry_timer = 0;
    duration m_retry_delay;
    // Destroyed with this object, which tells callbacks that the store still holds not to use it.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace mulberry
