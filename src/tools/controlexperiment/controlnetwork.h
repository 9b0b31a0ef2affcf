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

/// Payload bytes and messages that a node sent and received on one channel.
struct channel_traffic {
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
};

/// Control links between nodes in two regions, with the latencies of docs/design.md, loss and cuts of domains.
class control_network {
public:
    static constexpr std::size_t channels = 5;
    using traffic = std::array<channel_traffic, channels>;

    control_network(timer_service& timers, random_source& random) : m_timers(timers), m_random(random) {}
    control_network(const control_network&) = delete;
    control_network& operator=(const control_network&) = delete;
    ~control_network();

    /// Adds a node; nodes are numbered from 0.
    std::size_t add(const std::string& name, int domain, int region);
    control_link& link(std::size_t node);
    void attach(std::size_t node, control_channel channel, control_handler* handler);
    void set_loss(double probability) { m_loss = probability; }
    /// Cuts a domain off from all others; a negative number ends the cut.
    void cut(int domain) { m_cut_domain = domain; }
    const traffic& traffic_of(std::size_t node) const { return m_nodes[node]->sums; }

private:
    class endpoint;

    void send(endpoint& from, std::string_view to, control_channel channel, std::string payload);
    void deliver(endpoint& from, endpoint& to, control_channel channel, const std::string& payload);
    duration latency(const endpoint& from, const endpoint& to);

    timer_service& m_timers;
    random_source& m_random;
    double m_loss = 0;
    int m_cut_domain = -1;
    std::vector<std::unique_ptr<endpoint>> m_nodes;
    std::unordered_map<std::string, endpoint*> m_names;

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
        traffic sums{};
        std::array<control_handler*, channels> handlers{};

    private:
        control_network& m_network;
    };
};

} // namespace mulberry
