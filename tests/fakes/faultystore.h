#pragma once

#include "libs/base/randomsource.h"
#include "libs/store/memorystore.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace mulberry {

/// Faults that a client of the store may experience.
struct store_faults {
    duration latency{2000};
    /// Whether the store is unreachable. Calls and watches then report store_error::unavailable.
    bool down = false;
    /// Probability per write that it takes effect and its response is lost.
    double lost_response = 0;
    /// Whether a large change is arriving slowly: watches report nothing until this ends.
    bool receiving = false;
};

/// The connection of one node to a shared store, with its own faults. A single node can thus be disconnected while the
/// others stay connected.
class faulty_store final : public key_value_store {
public:
    faulty_store(memory_store& backing, timer_service& timers, random_source& random)
        : m_backing(backing), m_timers(timers), m_random(random)
    {
    }

    void set_faults(const store_faults& faults);
    /// Number of calls so far. Opening a watch counts as one call.
    std::uint64_t calls() const { return m_calls; }

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
    /// Watches report changes at once while the store is reachable.
    std::optional<time_point> watch_confirmed_until(watch_id id) const override;
    bool watch_is_receiving(watch_id /*id*/) const override { return m_faults.receiving; }

private:
    template <typename Result>
    using callback = std::function<void(leaf::result<Result>)>;

    template <typename Result>
    void run(callback<Result> done, bool is_write, std::function<void(callback<Result>)> operation);
    template <typename Result>
    callback<Result> wrap_callback(callback<Result> done);
    template <typename Result>
    void fail(callback<Result> done, store_error error);

    memory_store& m_backing;
    timer_service& m_timers;
    random_source& m_random;
    store_faults m_faults;
    std::uint64_t m_calls = 0;
    // Since when watches are not confirmed, while the store is down or a change is arriving.
    time_point m_unconfirmed_since;
    // Events that arrive once the store does not count as receiving any more.
    std::vector<std::function<void()>> m_held_events;
    // When the watches were opened.
    std::map<watch_id, time_point> m_watches;
    // Expires with this object, because the backing store may respond after its destruction.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace mulberry
