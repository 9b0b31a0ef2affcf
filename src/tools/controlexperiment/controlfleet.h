#pragma once

#include "controlnetwork.h"

#include "fakes/faultystore.h"
#include "fakes/virtualtimerservice.h"
#include "plugins/configuration/configrelay.h"
#include "plugins/configuration/configwriter.h"
#include "plugins/membership/membership.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberry {

/// Accepts every document.
class accept_all_validator final : public document_validator {
public:
    std::optional<std::string> problem(std::string_view, std::string_view) const override { return std::nullopt; }
};

/// The control-plane plugins of one node.
struct control_node {
    control_node(membership_settings members_settings, config_relay_settings relay_settings, timer_service& timers,
                 random_source& random, control_link& link, memory_store& backing)
        : store(backing, timers, random), members(std::move(members_settings), timers, random, link, &store),
          relay(std::move(relay_settings), timers, random, link, store, members, view),
          writer(timers, random, store, relay, validator)
    {
    }

    faulty_store store;
    config_view view;
    membership members;
    config_relay relay;
    accept_all_validator validator;
    config_writer writer;
};

/// Simulates a whole fleet in one process and in virtual time.
class control_fleet {
public:
    control_fleet(std::size_t size, std::uint64_t seed);

    std::size_t size() const { return m_nodes.size(); }
    std::size_t domains() const { return m_domains; }
    std::size_t domain_of(std::size_t node) const { return node % m_domains; }
    static std::string name_of(std::size_t node);
    bool is_running(std::size_t node) const { return m_nodes[node] != nullptr; }
    control_node& node(std::size_t index) { return *m_nodes[index]; }
    control_network& network() { return m_network; }
    virtual_timer_service& timers() { return m_timers; }

    void start(std::size_t node);
    /// Removes a node without notice to the others, as a crash does.
    void kill(std::size_t node);
    void set_store_faults(const store_faults& faults, std::optional<std::size_t> domain = std::nullopt);
    std::uint64_t store_calls() const;
    /// Increments the epoch for idempotency keys on every node. Called once per minute, as the daemon does.
    void advance_epochs();

    /// Returns a running watcher of the domain, or the domain's first node if there is none.
    std::size_t find_watcher(std::size_t domain);
    /// Returns a node from which another node of the domain pulls its configuration. Watchers are returned only if no
    /// other node qualifies; empty if there is no watcher either.
    std::optional<std::size_t> find_relay(std::size_t domain);

    /// Writes a document through a watcher of the domain. Returns its revision, or 0 if the write was not accepted.
    std::int64_t write_document(std::size_t domain, const std::string& key, const std::string& content);

    /// Whether every running node lists as many members as there are running nodes, and none of them as starting.
    bool all_members_known() const;
    /// Whether every running node has the document in this revision or a later one.
    bool all_have_revision(const std::string& key, std::int64_t revision) const;
    /// Whether every running node has the revision or refuses requests with a key.
    bool is_withdrawn_everywhere(const std::string& key, std::int64_t revision) const;
    /// Whether every running node knows the node in this state or a later one. A node that is not listed counts as
    /// dead.
    bool is_known_in_state(std::size_t node, member_state state) const;

    /// Advances virtual time until the condition holds and returns the time that took; empty if the limit is reached.
    template <typename Condition>
    std::optional<duration> advance_until(Condition condition, duration limit,
                                          duration step = std::chrono::milliseconds(20))
    {
        const time_point begin = m_timers.now();
        while (!condition()) {
            if (m_timers.now() - begin >= limit)
                return std::nullopt;
            m_timers.advance(step);
        }
        return m_timers.now() - begin;
    }

private:
    seeded_random_source m_random;
    virtual_timer_service m_timers;
    control_network m_network;
    memory_store m_backing_store;
    std::size_t m_domains;
    std::vector<std::unique_ptr<control_node>> m_nodes;
    std::vector<std::uint64_t> m_incarnations;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_calls_of_killed_nodes = 0;
    std::unique_ptr<periodic_timer> m_epoch_timer;
};

} // namespace mulberry
