#pragma once

#include "app/memberupstreams/memberupstreams.h"
#include "app/sidecar/sidecarsettings.h"
#include "app/transport/localtransport.h"
#include "libs/http/httpclient.h"
#include "libs/store/keyvaluestore.h"
#include "plugins/drain/draincontroller.h"
#include "plugins/entry/entryservice.h"
#include "plugins/quarantine/quarantineservice.h"
#include "plugins/quota/quotaservice.h"
#include "plugins/registry/storeregistry.h"
#include "plugins/retry/windowedretrybudget.h"
#include "plugins/upstream/upstreamtracker.h"
#include "plugins/virtualhosts/hostpolicy.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mulberry {

/// External dependencies of a sidecar_node. All of them outlive the node.
struct sidecar_environment {
    timer_service& timers;
    random_source& random;
    /// Source of unpredictable numbers, for tokens and keys.
    random_source& secure_random;
    key_value_store& store;
    call_transport& network;
    control_link& control;
    http_client& upstream;
    request_observer& observer;
    /// Returns the latest time up to which this node is known to have received every configuration change; empty before
    /// the first confirmation.
    std::function<std::optional<time_point>()> configuration_confirmed;
};

/// Connects all components of a daemon that obtains its peers and its configuration from the platform's store. It
/// performs I/O only through its environment and is used on one thread.
class sidecar_node final : private member_listener {
public:
    sidecar_node(const sidecar_settings& settings, node_id self, const field_names& fields,
                 const sidecar_environment& environment);
    ~sidecar_node() override;

    /// Starts registering this node in the store.
    void start() { m_registry->start(); }

    /// Returns whether callers may be served: the node has a configuration, has joined, and is not draining.
    bool ready() const;
    /// Applies a configuration unless a newer one is already in force. Returns whether it is in force now.
    bool apply(host_configuration configuration);
    /// Begins a planned stop. The callback receives the number of requests that were aborted.
    void drain(std::function<void(std::size_t aborted_requests)> done);
    bool draining() const { return m_drain->draining(); }

    entry_service& entry() { return *m_entry; }
    guard_service& guard() { return *m_guard; }
    const guard_service& guard() const { return *m_guard; }
    store_registry& registry() { return *m_registry; }
    upstream_tracker& upstream() { return m_upstream; }
    host_policy& policy() { return m_policy; }
    quota_service& quotas() { return *m_quotas; }
    quarantine_service& quarantine() { return *m_quarantine; }
    const quarantine_service& quarantine() const { return *m_quarantine; }

private:
    class drain_adapter;

    void on_upstream_changed(const tracked_upstream& upstream);
    /// Marks the upstream as leaving because of one of its responses, even if it has not announced that.
    void on_upstream_leaving(leaving_source source);
    void on_member_changed(const member& changed) override;
    /// Restores what an earlier run of this node published about its upstream, until the upstream reports again.
    void restore_upstream(const member& previous_run);
    /// Publishes the state of this node and of its upstream in the registry.
    void publish_state();
    void update_selector();
    /// Divides the retry bound of the fleet by the current number of nodes.
    void update_retry_bound();

    sidecar_settings m_settings;
    node_id m_self;
    timer_service& m_timers;
    host_policy m_policy;
    upstream_tracker m_upstream;
    std::unique_ptr<store_registry> m_registry;
    std::unique_ptr<quota_service> m_quotas;
    std::unique_ptr<quarantine_service> m_quarantine;
    std::unique_ptr<entry_throttle> m_throttle;
    std::unique_ptr<downstream_monitor> m_downstream;
    std::unique_ptr<bottleneck_throttle> m_bottlenecks;
    std::unique_ptr<upstream_selector> m_selector;
    std::unique_ptr<guard_service> m_guard;
    std::unique_ptr<local_transport> m_transport;
    windowed_retry_budget_settings m_retry_bound;
    std::unique_ptr<entry_service> m_entry;
    std::unique_ptr<drain_adapter> m_drain_adapter;
    std::unique_ptr<drain_controller> m_drain;
    member_upstreams m_upstreams;
    timer_id m_leaving_timer = 0;
};

} // namespace mulberry
