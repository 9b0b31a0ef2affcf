#pragma once

#include "libs/base/controllink.h"
#include "libs/base/randomsource.h"
#include "libs/base/timerservice.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace mulberry {

/// Faults of a fake network. `loss` and `duplication` are probabilities per message.
struct network_faults {
    /// One-way latency of a message.
    duration latency{1000};
    /// Upper bound of the random time that is added to the latency.
    duration jitter{0};
    double loss = 0;
    double duplication = 0;
};

/// Control links between named nodes in one process, with latency, loss, duplication, reordering and partitions.
class fake_control_network {
public:
    fake_control_network(timer_service& timers, random_source& random);
    fake_control_network(const fake_control_network&) = delete;
    fake_control_network& operator=(const fake_control_network&) = delete;
    ~fake_control_network();

    /// The link with which a node sends. It stays valid for the lifetime of the network.
    control_link& link(const std::string& node);
    /// Sets the receiver of a channel at a node. A null pointer removes it, as when the node has failed.
    void attach(const std::string& node, control_channel channel, control_handler* handler);
    /// Puts a node into a partition group; messages between different groups are lost. All nodes start in group 0.
    void set_group(const std::string& node, int group) { m_groups[node] = group; }
    /// Sets the latency and faults of all links.
    void set_faults(const network_faults& faults) { m_faults = faults; }

    /// Payload bytes that a node has sent and received so far.
    std::uint64_t bytes(const std::string& node) const;
    /// Messages that a node has sent and received so far.
    std::uint64_t messages(const std::string& node) const;

private:
    class node_link;
    struct traffic {
        std::uint64_t bytes = 0;
        std::uint64_t messages = 0;
    };

    void send(const std::string& from, std::string_view to, control_channel channel, std::string payload);
    void deliver(const std::string& from, const std::string& to, control_channel channel,
                 const std::shared_ptr<std::string>& payload);
    duration draw_latency();
    void count(const std::string& node, std::size_t bytes);

    timer_service& m_timers;
    random_source& m_random;
    network_faults m_faults;
    std::map<std::string, std::unique_ptr<node_link>, std::less<>> m_links;
    std::map<std::pair<std::string, control_channel>, control_handler*> m_handlers;
    std::map<std::string, int, std::less<>> m_groups;
    std::map<std::string, traffic, std::less<>> m_traffic;
};

} // namespace mulberry
