#pragma once

#include "app/memberupstreams/memberupstreams.h"
#include "app/sidecar/sidecarsettings.h"
#include "app/transport/localtransport.h"
#include "libs/http/httpclient.h"
#include "libs/store/keyvaluestore.h"
#include "plugins/drain/draincontroller.h"
#include "plugins/entry/entryservice.h"
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

/// The outside of a node. All outlive the node.
struct sidecar_environment {
    timer_service& timers;
    random_source& random;
    /// Must not be predictable.
    random_source& secure_random;
    key_value_store& store;
    call_transport& network;
    control_link& control;
    http_client& upstream;
    request_observer& observer;
    /// The latest time up to which all changes of the configuration are known.
    std::function<std::optional<time_point>()> configuration_confirmed;
};

/// All slices of a daemon that finds its peers and its configuration in the platform's store. It does no I/O of its own
/// and runs on one thread.
class sidecar_node final : private member_listener {
public:
    sidecar_node(const sidecar_settings& settings, node_id self, const field_names& fields,
                 const sidecar_environment& environment);
    ~sidecar_node() override;

    void start() { m_registry->start(); }

    /// True while callers may be served.
    bool ready() const;
    /// Puts a configuration in force unless a newer one is.
    void apply(host_configuration configuration);
    /// Begins a planned stop; the callback gets the number of requests that were cut.
    void drain(std::function<void(std::size_t cut)> done);
    bool draining() const { return m_drain->draining(); }

    entry_service& entry() { return *m_entry; }
    guard_service& guard() { return *m_guard; }
    store_registry& registry() { return *m_registry; }
    upstream_tracker& upstream() { return m_upstream; }
    host_policy& policy() { return m_policy; }
    quota_service& quotas() { return *m_quotas; }

private:
    class drain_adapter;

    void on_upstream_changed(const tracked_upstream& upstream);
    void on_member_changed(const member& changed) override;
    void adopt_upstream(const member& earlier);
    void publish_state();
    void update_selector();
    void update_budgets();

    sidecar_settings m_settings;
    node_id m_self;
    timer_service& m_timers;
    host_policy m_policy;
    upstream_tracker m_upstream;
    std::unique_ptr<store_registry> m_registry;
    std::unique_ptr<quota_service> m_quotas;
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
