#pragma once

#include "libs/base/timerservice.h"
#include "libs/store/keyvaluestore.h"

#include <map>

namespace mulberry {

/// A store in memory. Used when the whole system runs on a single machine, and by the stand-in store and the fakes.
/// Callbacks are scheduled with the timer service with a delay of zero, so they never run inside the call.
class memory_store final : public key_value_store {
public:
    explicit memory_store(timer_service& timers) : m_timers(timers) {}

    void get(std::string_view key, std::function<void(leaf::result<range_result>)> done) override;
    void range(std::string_view prefix, std::function<void(leaf::result<range_result>)> done) override;
    void put_if(std::string_view key, std::int64_t expected_mod_revision, std::string value, lease_id lease,
                std::function<void(leaf::result<put_result>)> done) override;
    void remove_if(std::string_view key, std::int64_t expected_mod_revision,
                   std::function<void(leaf::result<put_result>)> done) override;
    void grant_lease(duration ttl, std::function<void(leaf::result<lease_id>)> done) override;
    void keep_alive(lease_id lease, std::function<void(leaf::result<void>)> done) override;
    watch_id watch(std::string_view prefix, std::int64_t from_revision, watch_callback on_change) override;
    void cancel_watch(watch_id id) override;

    /// Expires a lease immediately and deletes its keys.
    void expire_lease(lease_id lease);

    std::int64_t revision() const { return m_revision; }

    /// Takes a copy of all values.
    void take_copy() { m_copy = {m_values, m_revision}; }
    /// Goes back to the last copy, as after a loss of data: the leases and the revisions since then are gone, all
    /// watches end, and later changes have revisions of the next generation.
    void restore_copy();

private:
    struct stored_value {
        std::string value;
        std::int64_t mod_revision = 0;
        lease_id lease = 0;
    };

    struct store_state {
        std::map<std::string, stored_value, std::less<>> values;
        std::int64_t revision = 1;
    };

    struct lease_state {
        duration ttl{0};
        timer_id timer = 0;
    };

    struct subscription {
        std::string prefix;
        std::int64_t from_revision = 0;
        watch_callback on_change;
    };

    /// Schedules the callback of a call with its result.
    template <typename Result>
    void schedule_callback(std::function<void(leaf::result<Result>)> done, leaf::result<Result> result);
    range_result read_range(std::string_view prefix, bool exact) const;
    /// Result of a conditional write whose condition failed.
    put_result conflict_result(std::string_view key) const;
    /// Adds an event to the history and reports it to the watches that it concerns.
    void record_event(watch_event event);
    void notify(watch_id id, std::vector<watch_event> events);
    void erase_key(const std::string& key);

    timer_service& m_timers;
    std::map<std::string, stored_value, std::less<>> m_values;
    store_state m_copy;
    std::vector<watch_event> m_history;
    std::map<lease_id, lease_state> m_leases;
    std::map<watch_id, subscription> m_subscriptions;
    std::int64_t m_revision = 1;
    lease_id m_last_lease_id = 0;
    watch_id m_last_watch_id = 0;
};

} // namespace mulberry
