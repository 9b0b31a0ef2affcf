#pragma once

#include "app/memberupstreams/memberupstreams.h"
#include "app/node/policyview.h"
#include "app/transport/localtransport.h"
#include "libs/http/httpclient.h"
#include "plugins/account/decisionlog.h"
#include "plugins/drain/draincontroller.h"
#include "plugins/entry/entryservice.h"
#include "plugins/membership/membership.h"
#include "plugins/quarantine/quarantineservice.h"
#include "plugins/shares/shareservice.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

/// Startup settings of one node. Durations that are not listed here use the defaults of the components' own settings.
struct node_settings {
    node_id self;
    node_location location;
    std::string service;
    std::string upstream_url;
    /// Address at which other nodes can connect to this node, as "host:port".
    std::string address;
    std::vector<member_seed> seeds;
    /// Every failure domain of the deployment, including currently unreachable ones.
    std::vector<std::string> failure_domains;
    std::size_t account_memory_bytes = 16U << 20U;
    std::size_t idempotency_memory_bytes = 8U << 20U;
    drain_settings drain;
};

/// External dependencies of a node. The daemon provides sockets and clocks, tests provide fakes. All of them outlive
/// the node.
struct node_environment {
    timer_service& timers;
    /// Random numbers for jitter and sampling.
    random_source& random;
    /// Unpredictable random numbers for tokens and keys.
    random_source& secure_random;
    control_link& control;
    key_value_store& store;
    call_transport& network;
    http_client& upstream;
    request_observer& observer;
    /// Time of day for the records of the account.
    std::function<wall_time()> wall_clock;
};

/// Creates and connects all components of one node. It performs I/O only through its environment and is used on one
/// thread.
class node final : private member_listener {
public:
    node(node_settings settings, const node_environment& environment);
    ~node() override;

    /// Returns whether callers may be served. Stays true once it is.
    bool ready() const { return m_ready; }
    /// Begins a planned stop; see drain_controller. The callback receives the number of requests that were aborted.
    void drain(std::function<void(std::size_t aborted_requests)> done);

    /// Returns the receiver of the control messages of a channel.
    control_handler& handler(control_channel channel);

    entry_service& entry() { return *m_entry; }
    guard_service& guard() { return *m_guard; }
    membership& members() { return *m_members; }
    config_view& view() { return m_view; }
    config_relay& relay() { return *m_relay; }
    config_writer& writer() { return *m_writer; }
    policy_view& policy() { return *m_policy; }
    shares::share_service& organisation_shares() { return *m_organisation_shares; }
    decision_log& account() { return *m_account; }
    const quarantine_service& quarantine() const { return *m_quarantine; }
    upstream_selector& selector() { return *m_selector; }
    drain_controller& drain_control() { return *m_drain; }
    const node_settings& settings() const { return m_settings; }
    const parsing_validator& validator() const { return m_validator; }

private:
    class drain_adapter;
    class share_rate_limiter;
    class account_observer;

    /// Creates the components that exchange control messages and store data.
    void build_control(const node_environment& environment);
    /// Creates the components that handle requests.
    void build_request_path(const node_environment& environment);
    void connect_components();
    void apply_organisations(const organisations_document& document);
    void check_ready();
    void update_selector();
    void on_member_changed(const member& changed) override;

    node_settings m_settings;
    timer_service& m_timers;
    std::unique_ptr<membership> m_members;
    config_view m_view;
    std::unique_ptr<policy_view> m_policy;
    std::unique_ptr<config_relay> m_relay;
    parsing_validator m_validator;
    std::unique_ptr<config_writer> m_writer;
    std::unique_ptr<shares::share_service> m_organisation_shares;
    std::unique_ptr<quarantine_service> m_quarantine;
    std::unique_ptr<decision_log> m_account;
    std::unique_ptr<account_observer> m_observer;
    std::unique_ptr<entry_throttle> m_throttle;
    std::unique_ptr<upstream_selector> m_selector;
    std::unique_ptr<guard_service> m_guard;
    std::unique_ptr<local_transport> m_transport;
    std::unique_ptr<share_rate_limiter> m_limiter;
    std::unique_ptr<entry_service> m_entry;
    std::unique_ptr<drain_adapter> m_drain_adapter;
    std::unique_ptr<drain_controller> m_drain;
    std::unique_ptr<periodic_timer> m_ready_timer;
    std::unique_ptr<periodic_timer> m_epoch_timer;
    std::vector<std::string> m_limited_organisations;
    member_upstreams m_upstreams;
    bool m_ready = false;
};

} // namespace mulberry
