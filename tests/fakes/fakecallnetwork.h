#pragma once

#include "fakes/fakecontrolnetwork.h"
#include "fakes/nodetimers.h"
#include "plugins/calls/calltransport.h"
#include "plugins/guard/guardservice.h"

#include <map>
#include <memory>
#include <string>

namespace mulberry {

/// Carries calls between the guards of named nodes in one process. Messages are encoded and decoded, and can be
/// delayed, duplicated or lost. When a message is lost, the call fails with connection_lost, as after a broken
/// connection.
class fake_call_network {
public:
    fake_call_network(timer_service& timers, random_source& random) : m_timers(timers), m_random(random) {}

    /// Creates the transport with which a node sends calls. Callbacks run through the timers of the node.
    std::unique_ptr<call_transport> make_transport(const std::string& node, node_timers& timers);

    /// Makes a node reachable; a null guard removes it.
    void attach(const std::string& node, guard_service* guard, node_timers* timers);
    /// Puts a node into a partition group; nodes in different groups cannot reach each other. All nodes start in group
    /// 0.
    void set_group(const std::string& node, int group) { m_groups[node] = group; }
    void set_faults(const network_faults& faults) { m_faults = faults; }

private:
    class node_transport;
    struct receiver {
        guard_service* guard = nullptr;
        node_timers* timers = nullptr;
    };

    bool connected(const std::string& from, const std::string& to);
    duration draw_latency();
    void deliver(const std::string& from, const std::string& to, const std::shared_ptr<std::string>& bytes,
                 const std::function<void(std::string)>& deliver_response);

    timer_service& m_timers;
    random_source& m_random;
    network_faults m_faults;
    std::map<std::string, receiver> m_receivers;
    std::map<std::string, int> m_groups;
};

} // namespace mulberry
