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
class any_document final : public document_validator {
public:
    std::optional<std::string> problem(std::string_view, std::string_view) const override { return std::nullopt; }
};

/// The control slices of one node.
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
    any_document validator;
    config_writer writer;
};

/// A whole fleet in one process and in virtual time.
class control_fleet {
public:
    control_fleet(std::size_t size, std::uint64_t seed);

    std::size_t size() const { return m_nodes.size(); }
    std::size_t domains() const { return m_domains; }
    std::size_t domain_of(std::size_t node) const { return node % m_domains; }
    static std::string name_of(std::size_t node);
    bool running(std::size_t node) const { return m_nodes[node] != nullptr; }
    control_node& node(std::size_t index) { return *m_nodes[index]; }
    control_network& network() { return m_network; }
    virtual_timer_service& timers() { return m_timers; }

    void start(std::size_t node);
    void kill(std::size_t node);
    void set_store_faults(const store_faults& faults, std::optional<std::size_t> domain = std::nullopt);
    std::uint64_t store_calls() const;
    /// Every minute each node steps its epoch for idempotency keys, as the daemon does.
    void step_epochs();

    /// A node that is, or is not, a watcher, and has children if asked for.
    std::size_t find_watcher(std::size_t domain);
    std::optional<std::size_t> find_relay(std::size_t domain);

    /// Writes through a watcher of the domain; returns the revision, 0 if it was not accepted.
    std::int64_t write(std::size_t domain, const std::string& key, const std::string& content);

    bool all_know_all() const;
    bool all_hold(const std::string& key, std::int64_t revision) const;
    /// Every node holds the revision or refuses keyed requests.
    bool withdrawn_everywhere(const std::string& key, std::int64_t revision) const;
    bool known_as(std::size_t node, member_state state) const;

    /// Virtual time until the condition holds; empty after the limit.
    template <typename Condition>
    std::optional<duration> time_until(Condition condition, duration limit,
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
    memory_store m_backing;
    std::size_t m_domains;
    std::vector<std::unique_ptr<control_node>> m_nodes;
    std::vector<std::uint64_t> m_incarnations;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_calls_of_dead_nodes = 0;
    std::unique_ptr<periodic_timer> m_epoch_timer;
};

} // namespace mulberry
