#pragma once

#include "fakes/fakecontrolnetwork.h"
#include "fakes/nodetimers.h"
#include "plugins/calls/calltransport.h"
#include "plugins/guard/guardservice.h"

#include <map>
#include <memory>
#include <string>

namespace mulberry {

/// Carries calls between the guards of named nodes in one process. Messages go through the codec, may be late, doubled
/// or lost, and a lost message ends the call as connection_lost, as a broken connection does.
class fake_call_network {
public:
    fake_call_network(timer_service& timers, random_source& random) : m_timers(timers), m_random(random) {}

    /// The way out of a node; callbacks come through the node's timers.
    std::unique_ptr<call_transport> make_transport(const std::string& node, node_timers& timers);

    /// Makes a node reachable; a null guard removes it.
    void attach(const std::string& node, guard_service* guard, node_timers* timers);
    void set_group(const std::string& node, int group) { m_groups[node] = group; }
    void set_faults(const network_faults& faults) { m_faults = faults; }

private:
    class node_transport;
    struct receiver {
        guard_service* guard = nullptr;
        node_timers* timers = nullptr;
    };

    bool connected(const std::string& left, const std::string& right);
    duration draw_latency();
    void deliver(const std::string& from, const std::string& to, const std::shared_ptr<std::string>& bytes,
                 const std::function<void(std::string)>& answer);

    timer_service& m_timers;
    random_source& m_random;
    network_faults m_faults;
    std::map<std::string, receiver> m_receivers;
    std::map<std::string, int> m_groups;
};

} // namespace mulberry
