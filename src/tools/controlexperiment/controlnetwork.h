#pragma once

#include "libs/base/controllink.h"
#include "libs/base/randomsource.h"
#include "libs/base/timerservice.h"

#include <array>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace mulberry {

/// Payload bytes and number of messages that a node sent and received on one channel.
struct channel_traffic {
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
};

/// Simulated control links between nodes in two regions, with the latencies of docs/design.md. It can lose messages and
/// isolate a failure domain.
class control_network {
public:
    static constexpr std::size_t channel_count = 5;
    using traffic = std::array<channel_traffic, channel_count>;

    control_network(timer_service& timers, random_source& random) : m_timers(timers), m_random(random) {}
    control_network(const control_network&) = delete;
    control_network& operator=(const control_network&) = delete;
    ~control_network();

    /// Adds a node and returns its index; nodes are numbered from 0.
    std::size_t add_node(const std::string& name, int domain, int region);
    control_link& link(std::size_t node);
    void attach_handler(std::size_t node, control_channel channel, control_handler* handler);
    void set_loss(double probability) { m_loss_probability = probability; }
    /// Drops all messages between the domain and the others; a negative number ends the isolation.
    void isolate_domain(int domain) { m_isolated_domain = domain; }
    const traffic& traffic_of(std::size_t node) const { return m_nodes[node]->totals; }

private:
    class endpoint;

    void send(endpoint& from, std::string_view to, control_channel channel, std::string payload);
    void deliver(endpoint& from, endpoint& to, control_channel channel, const std::string& payload);
    duration latency(const endpoint& from, const endpoint& to);

    timer_service& m_timers;
    random_source& m_random;
    double m_loss_probability = 0;
    int m_isolated_domain = -1;
    std::vector<std::unique_ptr<endpoint>> m_nodes;
    std::unordered_map<std::string, endpoint*> m_nodes_by_name;

    class endpoint final : public control_link {
    public:
        endpoint(control_network& network, std::string own_name, int own_domain, int own_region)
            : name(std::move(own_name)), domain(own_domain), region(own_region), m_network(network)
        {
        }

        void send(std::string_view node_name, control_channel channel, std::string payload) override
        {
            m_network.send(*this, node_name, channel, std::move(payload));
        }

        std::string name;
        int domain = 0;
        int region = 0;
        traffic totals{};
        std::array<control_handler*, channel_count> handlers{};

    private:
        control_network& m_network;
    };
};

} // namespace mulberry
