#pragma once

#include "fakes/faultystore.h"
#include "tools/sharesexperiment/nodeclock.h"

namespace mulberry::shares {

/// A node's connection to the store. Results are delivered on the node's event loop, so a paused node gets them late
/// and a stopped node never. A write can also be reported as unknown before it takes effect.
class node_store final : public key_value_store {
public:
    node_store(memory_store& backing, timer_service& simulation, random_source& random, node_clock& clock)
        : m_simulation(simulation), m_random(random), m_clock(clock), m_store(backing, simulation, random)
    {
    }

    void set_faults(const store_faults& faults) { m_store.set_faults(faults); }
    /// Sets the probability that a write is immediately reported as unknown and takes effect after the delay.
    void set_late_writes(double chance, duration delay)
    {
        m_late_chance = chance;
        m_late_delay = delay;
    }
    std::uint64_t calls() const { return m_store.calls(); }

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

private:
    template <typename Result>
    std::function<void(leaf::result<Result>)> on_event_loop(std::function<void(leaf::result<Result>)> done);

    timer_service& m_simulation;
    random_source& m_random;
    node_clock& m_clock;
    faulty_store m_store;
    double m_late_chance = 0;
    duration m_late_delay{0};
};

} // namespace mulberry::shares
