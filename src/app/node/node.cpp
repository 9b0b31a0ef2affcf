#include "app/node/node.h"

#include "libs/base/log.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

namespace mulberry {

namespace {

// How often a starting node checks whether it has a view and has joined the fleet.
constexpr duration ready_poll_period = std::chrono::milliseconds(50);
// How often the epoch of idempotency keys is passed to the membership, which announces it if it has changed.
constexpr duration epoch_announce_period = std::chrono::seconds(10);

} // namespace

/// Adapts the share service to the interface of the entry service.
class node::share_rate_limiter final : public rate_limiter {
public:
    explicit share_rate_limiter(shares::share_service& service) : m_shares(service) {}

    void admit(std::string_view organisation, std::function<void(std::optional<refusal>)> done) override
    {
        m_shares.admit(organisation, std::move(done));
    }

private:
    shares::share_service& m_shares;
};

/// Adds every decision to the account and passes it to the next observer.
class node::account_observer final : public request_observer {
public:
    account_observer(decision_log& account, request_observer& next, std::function<wall_time()> wall_clock)
        : m_account(account), m_next(next), m_wall_clock(std::move(wall_clock))
    {
    }

    void on_finished(const decision_record& record) override
    {
        decision_record timestamped = record;
        timestamped.received = m_wall_clock() - std::chrono::duration_cast<std::chrono::milliseconds>(record.took);
        m_account.record(timestamped);
        m_next.on_finished(timestamped);
    }

    void on_retry_decision(refusal_reason failure, std::optional<retry_refusal> refused) override
    {
        m_next.on_retry_decision(failure, refused);
    }

private:
    decision_log& m_account;
    request_observer& m_next;
    std::function<wall_time()> m_wall_clock;
};

class node::drain_adapter final : public drain_participant {
public:
    explicit drain_adapter(node& owner) : m_owner(owner) {}

    void begin_drain() override
    {
        const time_point end = m_owner.m_timers.now() + m_owner.m_settings.drain.limit;
        m_owner.m_entry->begin_stopping(end);
        m_owner.m_guard->begin_stopping(end);
        m_owner.m_members->set_own_state(member_state::leaving);
        m_owner.m_guard->begin_leaving();
        m_owner.m_organisation_shares->drain([this] { m_shares_returned = true; });
    }

    bool is_idle() const override
    {
        return m_shares_returned && m_owner.m_entry->in_progress() == 0 && m_owner.m_guard->in_progress() == 0;
    }

    std::size_t abort_requests() override
    {
        return m_owner.m_entry->refuse_all(refusal_reason::draining) +
               m_owner.m_guard->refuse_all(refusal_reason::draining);
    }

private:
    node& m_owner;
    bool m_shares_returned = false;
};

node::node(node_settings settings, const node_environment& environment)
    : m_settings(std::move(settings)), m_timers(environment.timers)
{
    build_control(environment);
    build_request_path(environment);
    connect_components();
}

node::~node()
{
    m_members->remove_listener(*this);
}

void node::build_control(const node_environment& environment)
{
    membership_settings members;
    members.self = {m_settings.self,     m_settings.service,     m_settings.address,
                    m_settings.location, member_state::starting, 1};
    members.seeds = m_settings.seeds;
    m_members = std::make_unique<membership>(std::move(members), m_timers, environment.random, environment.control,
                                             &environment.store);
    m_policy = std::make_unique<policy_view>(m_view);
    config_relay_settings relay;
    relay.node = m_settings.self.name;
    relay.domain = m_settings.location.failure_domain;
    relay.domains = m_settings.failure_domains;
    m_relay = std::make_unique<config_relay>(std::move(relay), m_timers, environment.random, environment.control,
                                             environment.store, *m_members, m_view);
    m_writer =
        std::make_unique<config_writer>(m_timers, environment.secure_random, environment.store, *m_relay, m_validator);
    shares::share_settings share_options;
    share_options.node = m_settings.self;
    share_options.failure_domain = m_settings.location.failure_domain;
    share_options.failure_domains = [this] { return m_settings.failure_domains; };
    m_organisation_shares = std::make_unique<shares::share_service>(
        std::move(share_options), m_timers, environment.random, environment.control, environment.store);
    m_quarantine = std::make_unique<quarantine_service>(m_settings.self, m_timers, environment.random, *m_members,
                                                        environment.control, environment.store);
    decision_log_settings account;
    account.node = m_settings.self.name;
    account.max_bytes = m_settings.account_memory_bytes;
    account.started = environment.wall_clock();
    m_account = std::make_unique<decision_log>(std::move(account), m_timers, environment.control, *m_members);
    m_observer = std::make_unique<account_observer>(*m_account, environment.observer, environment.wall_clock);
}

void node::build_request_path(const node_environment& environment)
{
    m_throttle = std::make_unique<entry_throttle>(throttle_settings{}, m_timers, environment.random);
    m_selector = std::make_unique<upstream_selector>(routing_settings{}, m_settings.self.name, m_settings.location,
                                                     m_timers, environment.random);
    guard_settings guard;
    guard.self = m_settings.self;
    guard.service = m_settings.service;
    guard.upstream_url = m_settings.upstream_url;
    guard.quarantine = m_quarantine.get();
    guard.idempotency.max_bytes = m_settings.idempotency_memory_bytes;
    m_guard = std::make_unique<guard_service>(std::move(guard), m_timers, environment.secure_random,
                                              environment.upstream, *m_observer);
    m_transport = std::make_unique<local_transport>(m_settings.self.name, m_timers, *m_guard, environment.network);
    m_limiter = std::make_unique<share_rate_limiter>(*m_organisation_shares);
    entry_settings entry;
    entry.self = m_settings.self;
    m_entry = std::make_unique<entry_service>(
        entry,
        entry_dependencies{m_timers, environment.random, environment.secure_random, *m_policy, *m_limiter, *m_throttle,
                           *m_selector, *m_members, *m_transport, *m_observer, nullptr, nullptr, m_quarantine.get()});
    m_drain_adapter = std::make_unique<drain_adapter>(*this);
    const std::array<drain_participant*, 1> participants{m_drain_adapter.get()};
    m_drain = std::make_unique<drain_controller>(m_settings.drain, m_timers, participants);
}

void node::connect_components()
{
    m_policy->set_relay(*m_relay);
    m_policy->on_service_changed([this](const service_document& document) {
        if (document.service == m_settings.service)
            m_guard->set_slots(document.slots);
    });
    m_policy->on_organisations_changed(
        [this](const organisations_document& document) { apply_organisations(document); });
    m_members->add_listener(*this);
    m_ready_timer = std::make_unique<periodic_timer>(m_timers, ready_poll_period, [this] { check_ready(); });
    m_epoch_timer = std::make_unique<periodic_timer>(
        m_timers, epoch_announce_period, [this] { m_members->set_own_epoch(m_guard->idempotency_epoch()); });
    update_selector();
}

void node::drain(std::function<void(std::size_t aborted_requests)> done)
{
    m_drain->start([this, done = std::move(done)](std::size_t aborted_requests) {
        m_members->set_own_state(member_state::dead);
        done(aborted_requests);
    });
}

control_handler& node::handler(control_channel channel)
{
    switch (channel) {
    case control_channel::membership:
        return *m_members;
    case control_channel::configuration:
        return *m_relay;
    case control_channel::shares:
        return *m_organisation_shares;
    case control_channel::account:
        return *m_account;
    case control_channel::quarantine:
        return *m_quarantine;
    case control_channel::quota: // not used by this kind of node; rate limits are enforced through shares
        break;
    }
    std::abort(); // messages of other channels are never delivered to this node
}

void node::apply_organisations(const organisations_document& document)
{
    m_relay->set_view_limit(document.view_age_limit);
    std::vector<std::string> names;
    for (const organisation& entry : document.organisations) {
        m_organisation_shares->set_limits(entry.name, entry.rate, static_cast<std::int64_t>(entry.burst));
        names.push_back(entry.name);
    }
    for (const std::string& name : m_limited_organisations) {
        if (std::ranges::find(names, name) == names.end())
            m_organisation_shares->remove_limits(name);
    }
    m_limited_organisations = std::move(names);
}

void node::check_ready()
{
    if (m_ready || !m_relay->ready() || !m_members->has_joined())
        return;
    m_ready = true;
    log_info("node", "Node {} is ready to serve with configuration revision {}.", m_settings.self.name,
             m_view.newest_revision());
    m_members->set_own_state(member_state::serving);
    update_selector();
}

void node::on_member_changed(const member& changed)
{
    // A leaving coordinator gives up its role itself. Only the coordinator role of a dead member has to be taken over.
    if (changed.state == member_state::dead)
        m_organisation_shares->on_member_dead(changed.id.name);
    update_selector();
}

void node::update_selector()
{
    m_selector->update(m_upstreams.update(m_members->members(), m_timers.now()));
}

} // namespace mulberry
