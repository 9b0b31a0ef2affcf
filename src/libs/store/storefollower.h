#pragma once

#include "libs/base/randomsource.h"
#include "libs/base/timerservice.h"
#include "libs/store/keyvaluestore.h"

#include <memory>
#include <span>
#include <string>

namespace mulberry {

/// Hears what a store_follower reads.
class store_follower_listener {
public:
    store_follower_listener() = default;
    store_follower_listener(const store_follower_listener&) = delete;
    store_follower_listener& operator=(const store_follower_listener&) = delete;
    virtual ~store_follower_listener() = default;

    /// All entries with the prefix; entries known before that are not among them have been deleted.
    virtual void on_snapshot(std::span<const store_entry> entries) = 0;
    virtual void on_changes(std::span<const watch_event> events) = 0;
};

/// Keeps a listener up to date on the keys with a prefix: reads them, watches for changes, and starts over with a
/// growing, jittered pause when the store fails or has dropped its history.
class store_follower {
public:
    store_follower(timer_service& timers, random_source& random, key_value_store& store, std::string prefix,
                   store_follower_listener& listener);
    store_follower(const store_follower&) = delete;
    store_follower& operator=(const store_follower&) = delete;
    ~store_follower();

    void start();

    /// The latest time up to which the listener knows all changes; empty before the first snapshot.
    std::optional<time_point> confirmed() const;
    /// True while a watch is set up.
    bool watching() const { return m_watch != 0; }

private:
    void read();
    void on_read(time_point sent, leaf::result<range_result> result);
    void watch(std::int64_t from_revision);
    void retry();

    timer_service& m_timers;
    random_source& m_random;
    key_value_store& m_store;
    std::string m_prefix;
    store_follower_listener& m_listener;
    std::optional<time_point> m_read_at;
    std::optional<time_point> m_watch_confirmed;
    watch_id m_watch = 0;
    timer_id m_retry_timer = 0;
    duration m_pause;
    // Expires with this object, for callbacks that the store still holds.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace mulberry
