#pragma once

#include "app/memberupstreams/memberupstreams.h"
#include "app/node/policyview.h"
#include "app/transport/localtransport.h"
#include "libs/http/httpclient.h"
#include "plugins/account/decisionlog.h"
#include "plugins/drain/draincontroller.h"
#include "plugins/entry/entryservice.h"
#include "plugins/membership/membership.h"
#include "plugins/shares/shareservice.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

/// What one node is told at its start. All lengths of time are those of the slices' own settings.
struct node_settings {
    node_id self;
    node_location location;
    std::string service;
    std::string upstream_url;
    /// "host:port" at which other nodes reach this one.
    std::string address;
    std::vector<member_seed> seeds;
    /// Every failure domain of the deployment, also those that cannot be heard.
    std::vector<std::string> failure_domains;
    std::size_t account_memory_bytes = 16U << 20U;
    std::size_t once_memory_bytes = 8U << 20U;
    drain_settings drain;
};

/// The outside of a node. The daemon gives sockets and clocks, tests give fakes. All outlive the node.
struct node_environment {
    timer_service& timers;
    /// For jitter and sampling.
    random_source& random;
    /// For tokens and keys; must not be predictable.
    random_source& secure_random;
    control_link& control;
    key_value_store& store;
    call_transport& network;
    http_client& upstream;
    request_observer& observer;
    /// Time of day for the account.
    std::function<wall_time()> wall_clock;
};

/// All slices of one node, joined. It does no I/O of its own and runs on one thread.
class node final : private member_listener {
public:
    node(node_settings settings, const node_environment& environment);
    ~node() override;

    /// True once callers may be served.
    bool ready() const { return m_ready; }
    /// Begins a planned stop; see drain_controller.
    void drain(std::function<void(std::size_t cut)> done);

    /// Receivers of control messages, by channel.
    control_handler& handler(control_channel channel);

    entry_service& entry() { return *m_entry; }
    guard_service& guard() { return *m_guard; }
    membership& members() { return *m_members; }
    config_view& view() { return m_view; }
    config_relay& relay() { return *m_relay; }
    config_writer& writer() { return *m_writer; }
    policy_view& documents() { return *m_policy; }
    shares::share_service& rates() { return *m_rates; }
    decision_log& account() { return *m_account; }
    upstream_selector& selector() { return *m_selector; }
    drain_controller& drainer() { return *m_drain; }
    const node_settings& settings() const { return m_settings; }
    const parsing_validator& validator() const { return m_validator; }

private:
    class drain_adapter;
    class share_limiter;
    class account_observer;

    void build_control(const node_environment& environment);
    void build_request_path(const node_environment& environment);
    void join();
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
    std::unique_ptr<shares::share_service> m_rates;
    std::unique_ptr<decision_log> m_account;
    std::unique_ptr<account_observer> m_observer;
    std::unique_ptr<entry_throttle> m_throttle;
    std::unique_ptr<upstream_selector> m_selector;
    std::unique_ptr<guard_service> m_guard;
    std::unique_ptr<local_transport> m_transport;
    std::unique_ptr<share_limiter> m_limiter;
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
