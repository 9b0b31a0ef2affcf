#pragma once

#include "fakes/fakecontrolnetwork.h"
#include "fakes/virtualtimerservice.h"
#include "plugins/shares/shareservice.h"
#include "tools/sharesexperiment/nodeclock.h"
#include "tools/sharesexperiment/nodestore.h"
#include "tools/sharesexperiment/ratecheck.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry::shares {

struct cluster_settings {
    std::vector<std::string> domains{"curepipe", "floreal", "quay", "caudan"};
    /// Total number, distributed over the domains in turn.
    std::size_t nodes = 16;
    /// Added to the network's latency between domains of a region and between regions. The first half of the domains
    /// forms one region.
    duration domain_latency{1000};
    duration region_latency{19500};
    /// One way.
    duration store_latency = std::chrono::milliseconds(2);
    std::uint64_t seed = 1;
    /// Node clocks run slower than the simulation by up to this value, in millionths.
    std::int64_t max_drift_ppm = 9900;
    /// Each clock runs either at full speed or slower by the maximum drift, never in between.
    bool two_speeds = false;
    share_settings shares;
};

struct cluster_organisation {
    std::int64_t rate = 0;
    std::int64_t burst = 0;
};

/// A simulated fleet of nodes with the shares plugin in virtual time, on a fake network and store. Checks the
/// admissions of all nodes together against the rate bound.
class share_cluster {
public:
    explicit share_cluster(const cluster_settings& settings);
    ~share_cluster();

    /// Sets an organisation's rate limit at every node.
    void set_limits(const std::string& organisation, cluster_organisation limits);
    /// Sets it at one node only, as it happens while a configuration is propagating.
    void set_limits_at(std::size_t node, const std::string& organisation, cluster_organisation limits);

    std::size_t size() const { return m_nodes.size(); }
    const std::string& name(std::size_t node) const { return m_nodes[node].name; }
    const std::string& domain(std::size_t node) const { return m_nodes[node].domain; }
    std::vector<std::size_t> nodes_in(const std::string& domain) const;
    bool is_running(std::size_t node) const { return m_nodes[node].service != nullptr; }
    share_service& service(std::size_t node) { return *m_nodes[node].service; }

    /// Offers a request at a node; the callback receives whether it was admitted. A stopped or paused node ignores it.
    void request(std::size_t node, const std::string& organisation, std::function<void(bool)> done = nullptr);

    void advance(duration interval) { m_timers.advance(interval); }
    virtual_timer_service& timers() { return m_timers; }
    random_source& random() { return m_random; }
    fake_control_network& network() { return m_network; }
    time_point now() const { return m_timers.now(); }

    void start(std::size_t node);
    /// Ends a node without notice.
    void kill(std::size_t node);
    /// Planned stop; the node ends when its share service has drained.
    void drain(std::size_t node, std::function<void()> done = nullptr);
    /// Pauses a node's timers, messages and store results; the node does not notice.
    void pause(std::size_t node);
    void resume(std::size_t node);
    void set_store_faults(std::size_t node, const store_faults& faults);
    void set_late_writes(std::size_t node, double chance, duration delay);
    /// Reports to every running node that a node is dead.
    void report_dead(std::size_t node);
    /// Sets a function that changes each message before delivery, for variants of a test that must fail.
    void set_message_filter(std::function<std::string(std::string)> change) { m_message_filter = std::move(change); }

    /// Returns the node that considers itself its domain's coordinator; size() if there is none.
    std::size_t coordinator_of(const std::string& domain) const;
    /// Fraction of the rate limit that nodes and coordinators hold together, by their own clocks: the larger of rate
    /// and capacity.
    double held_fraction(const std::string& organisation) const;
    std::uint64_t store_calls() const;
    /// Payload bytes that a node has sent and received.
    std::uint64_t control_bytes(std::size_t node) const { return m_network.bytes(m_nodes[node].name); }

    /// Called at every admission that exceeds the bound.
    std::function<void(const std::string& organisation)> on_excess;
    std::uint64_t admitted(const std::string& organisation) const;
    std::uint64_t refused(const std::string& organisation) const;

private:
    class message_receiver;
    struct sim_node {
        std::string name;
        std::string domain;
        std::uint64_t incarnation = 0;
        node_clock* clock = nullptr;
        node_store* store = nullptr;
        std::unique_ptr<message_receiver> handler;
        std::unique_ptr<share_service> service;
        store_faults faults;
        double late_chance = 0;
        duration late_delay{0};
    };
    struct admission_counts {
        cluster_organisation limits;
        rate_check check;
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
    };

    duration latency_between(const std::string& from, std::size_t to) const;
    void count(const std::string& organisation, bool admitted);

    cluster_settings m_settings;
    virtual_timer_service m_timers;
    seeded_random_source m_random;
    fake_control_network m_network;
    memory_store m_backing;
    /// Clocks and stores of former incarnations are kept, because late callbacks refer to them.
    std::vector<std::unique_ptr<node_clock>> m_clocks;
    std::vector<std::unique_ptr<node_store>> m_stores;
    std::vector<sim_node> m_nodes;
    std::map<std::string, admission_counts, std::less<>> m_organisations;
    std::function<std::string(std::string)> m_message_filter;
};

} // namespace mulberry::shares
