#pragma once

#include "fakes/faultystore.h"
#include "fakes/nodetimers.h"
#include "fakes/virtualtimerservice.h"
#include "libs/peer/peercontrollink.h"
#include "plugins/registry/storeregistry.h"
#include "plugins/storerelay/relayedstore.h"
#include "plugins/storerelay/relayport.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

class relay_fleet;

/// One node of a relay_fleet: it follows the list of nodes and a configuration, which is a version number.
class relay_node final : private store_follower_listener, private address_lookup, private peer_caller {
public:
    relay_node(relay_fleet& fleet, const std::string& name, const std::string& domain, std::uint64_t incarnation);
    ~relay_node() override;

    const std::string& name() const { return m_name; }
    int version() const { return m_version; }
    std::optional<time_point> confirmed_until() const { return m_configuration.confirmed_until(); }
    duration view_age() const;
    bool reads_store() const { return m_store.relay().empty(); }
    store_registry& registry() { return m_registry; }
    faulty_store& connection() { return m_connection; }
    node_timers& timers() { return m_timers; }
    relay_port& port() { return m_port; }

private:
    void on_snapshot(std::span<const store_entry> entries, std::int64_t revision) override;
    void on_changes(std::span<const watch_event> events) override;
    void apply(const store_entry& entry);
    std::optional<std::string> find_address(std::string_view node_name) const override;
    peer_call_id call(std::string_view node_name, std::string_view address, std::string_view path,
                      message_parts payload, peer_callback done) override;
    void cancel(peer_call_id id) override;
    void finish(peer_call_id id, leaf::result<message_body> result);

    relay_fleet& m_fleet;
    std::string m_name;
    std::map<peer_call_id, peer_callback> m_calls;
    peer_call_id m_last_call = 0;
    node_timers m_timers;
    faulty_store m_connection;
    relayed_store m_store;
    relay_port m_port;
    store_registry m_registry;
    store_follower m_configuration;
    int m_version = 0;
};

/// Nodes in virtual time that share a store and can be stopped, paused and cut off from the store or from each other.
class relay_fleet {
public:
    static constexpr std::string_view configuration_key = "op/config";

    explicit relay_fleet(std::uint64_t seed) : random(seed) {}

    void start(const std::string& name, const std::string& domain);
    void stop(const std::string& name) { nodes.erase(name); }
    /// Writes the next version of the configuration.
    void change_configuration();
    /// Advances the time in steps and checks after each of them that no node claims to know a change that it has not
    /// applied. Returns false after a violation.
    bool run(duration length);
    bool is_cut(const std::string& from, const std::string& to) const;
    std::size_t nodes_that_read_the_store() const;
    duration max_view_age() const;

    virtual_timer_service timers;
    seeded_random_source random;
    memory_store store{timers};
    std::map<std::string, std::unique_ptr<relay_node>> nodes;
    /// Nodes that the others cannot reach, and that cannot reach them.
    std::vector<std::string> isolated;
    int version = 0;

private:
    struct change {
        time_point at;
        int version = 0;
    };

    std::vector<change> m_changes;
    std::uint64_t m_last_incarnation = 0;
};

} // namespace mulberry
