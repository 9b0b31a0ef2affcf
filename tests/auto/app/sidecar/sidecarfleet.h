#pragma once

#include "app/sidecar/sidecarnode.h"
#include "fakes/fakecallnetwork.h"
#include "fakes/fakecontrolnetwork.h"
#include "fakes/fakeupstream.h"
#include "fakes/faultystore.h"
#include "fakes/ignoringobserver.h"
#include "fakes/nodetimers.h"
#include "fakes/virtualtimerservice.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

/// Several sidecar nodes of the service "orders" in virtual time, in two regions, connected by fakes of the network,
/// the store and the upstreams. The organisation "school" has the key "good" and may use every path.
class sidecar_fleet {
public:
    sidecar_fleet(int nodes, std::uint64_t seed);
    ~sidecar_fleet();

    timer_service& timers() { return m_timers; }
    std::vector<std::string> names() const;
    sidecar_node& at(const std::string& name);
    fake_upstream& upstream(const std::string& name);
    fake_control_network& control() { return m_control; }

    /// Ends a node at once. Its upstream continues to run.
    void stop(const std::string& name);
    /// Starts a new run of a node. Its upstream reports itself soon.
    void start(const std::string& name);
    /// Puts a node into a network partition group. Nodes of different groups cannot communicate.
    void set_group(const std::string& name, int group);
    void run(duration interval) { m_timers.advance(interval); }

    void send(const std::string& name, caller_request request, entry_service::response_callback done);

    /// Requests that crash every upstream that runs them.
    crash_trigger crashing_requests;
    /// Called whenever an upstream starts a request.
    std::function<void(const http_request&)> on_run;

private:
    struct fleet_node;

    void report_upstream(fleet_node& entry);

    virtual_timer_service m_timers;
    seeded_random_source m_random;
    memory_store m_store{m_timers};
    fake_control_network m_control{m_timers, m_random};
    fake_call_network m_calls{m_timers, m_random};
    ignoring_observer m_observer;
    std::map<std::string, std::unique_ptr<fleet_node>> m_nodes;
    std::uint64_t m_incarnations = 0;
};

} // namespace mulberry
