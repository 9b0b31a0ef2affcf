#include "app/sidecar/sidecarnode.h"

#include "libs/base/log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace mulberry {

namespace {

// Maximum view age as a fraction of the withdrawal limit. The rest of the limit covers a store watch that does not
// report changes for a while, and the time that a request takes to reach the key check.
constexpr double view_age_share = 0.65;
// Fraction of the drain limit during which calls are still passed to a leaving upstream, because other nodes may not
// have been notified yet and still send calls.
constexpr double upstream_leaving_grace_share = 0.6;
// A planned stop finishes this long before the platform would kill the process.
constexpr duration stop_margin = std::chrono::milliseconds(300);
// A planned stop takes at least this long, so that calls whose senders had not been notified yet are still accepted.
constexpr duration stop_settle_time = std::chrono::milliseconds(2500);
// Callers keep using this node until two of its readiness probes have failed. Other nodes may send calls until shortly
// before that, because the upstream is still running and would otherwise be idle.
constexpr duration guard_leaving_delay = std::chrono::milliseconds(1900);
constexpr duration guard_leaving_grace = std::chrono::milliseconds(400);
// Fraction of the configured retry bound that the nodes use. The rest is a margin for restarted nodes, which have no
// record of their earlier retries, and for the estimation error of calls that are made on behalf of retries.
constexpr double retry_bound_share = 0.75;
// Minimum improvement of the response time for which a call is sent to another region. Callers accept response times
// far above the latency between regions, while traffic between regions is billed by volume.
constexpr duration min_cross_region_gain = std::chrono::milliseconds(200);
// Maximum wait in the admission queue as a fraction of the time to the deadline. The rest leaves time for an attempt at
// another upstream.
constexpr double max_wait_share = 0.3;
// Fraction of the announced slots that is used. Some upstreams slow down for all calls when nearly all their slots are
// in use.
constexpr double usable_slot_share = 0.92;
// Time over which the load of a newly serving upstream is increased to its full share.
constexpr duration upstream_ramp_duration = std::chrono::seconds(4);

} // namespace

class sidecar_node::drain_adapter final : public drain_participant {
public:
    explicit drain_adapter(sidecar_node& owner) : m_owner(owner) {}

    void begin_drain() override
    {
        const time_point end = m_owner.m_timers.now() + m_owner.m_settings.stop_limit - stop_margin;
        m_owner.m_entry->begin_stopping(end);
        m_owner.m_guard->begin_stopping(end);
        m_owner.m_leaving_timer = m_owner.m_timers.schedule(guard_leaving_delay, [this] {
            m_leaving = true;
            m_owner.m_guard->begin_leaving();
            m_owner.publish_state();
        });
    }

    bool is_idle() const override
    {
        return m_leaving && m_owner.m_entry->in_progress() == 0 && m_owner.m_guard->in_progress() == 0;
    }

    std::size_t abort_requests() override
    {
        return m_owner.m_entry->refuse_all(refusal_reason::draining) +
               m_owner.m_guard->refuse_all(refusal_reason::draining);
    }

    bool leaving() const { return m_leaving; }

private:
    sidecar_node& m_owner;
    bool m_leaving = false;
};

sidecar_node::sidecar_node(const sidecar_settings& settings, node_id self, const field_names& fields,
                           const sidecar_environment& environment)
    : m_settings(settings), m_self(std::move(self)), m_timers(environment.timers),
      m_policy(m_timers, from_seconds(to_seconds(settings.withdrawal_limit) * view_age_share),
               environment.configuration_confirmed),
      m_upstream(m_timers, [this](const tracked_upstream& upstream) { on_upstream_changed(upstream); })
{
    const member own{
        m_self, m_settings.service, to_string(m_settings.peers), m_settings.location, member_state::starting, 0};
    registry_settings registry;
    registry.lease = std::max(registry.lease, m_settings.min_lease);
    m_registry = std::make_unique<store_registry>(registry, own, m_timers, environment.random,
                                                  environment.secure_random, environment.store);
    m_registry->add_listener(*this);
    m_registry->on_earlier_run([this](const member& previous_run) { restore_upstream(previous_run); });
    m_quotas =
        std::make_unique<quota_service>(quota_settings{}, m_self.name, m_timers, *m_registry, environment.control);
    m_quarantine = std::make_unique<quarantine_service>(m_self, m_timers, environment.random, *m_registry,
                                                        environment.control, environment.store);
    m_throttle = std::make_unique<entry_throttle>(throttle_settings{}, m_timers, environment.random);
    routing_settings routing;
    routing.ramp_duration = upstream_ramp_duration;
    routing.min_cross_region_gain = min_cross_region_gain;
    m_selector =
        std::make_unique<upstream_selector>(routing, m_self.name, m_settings.location, m_timers, environment.random);
    guard_settings guard;
    guard.self = m_self;
    guard.service = m_settings.service;
    guard.upstream_url = "http://" + m_settings.upstream_address;
    guard.dynamic_upstream = true;
    guard.upstream_leaving_grace_period =
        from_seconds(to_seconds(m_settings.drain_limit) * upstream_leaving_grace_share);
    guard.fields = fields;
    guard.usable_slot_share = usable_slot_share;
    guard.leaving_grace_period = guard_leaving_grace;
    // The limit is not learned from the duration of calls: a call also takes longer while its nested calls wait, which
    // does not indicate load at this upstream.
    guard.admission.learn_limit = false;
    guard.admission.max_wait_share = max_wait_share;
    m_downstream = std::make_unique<downstream_monitor>(m_timers);
    m_bottlenecks = std::make_unique<bottleneck_throttle>(bottleneck_throttle_settings{}, m_timers, environment.random);
    guard.downstream_report = [this] { return m_downstream->report(); };
    guard.quarantine = m_quarantine.get();
    guard.on_upstream_leaving = [this](leaving_source source) { on_upstream_leaving(source); };
    m_guard = std::make_unique<guard_service>(std::move(guard), m_timers, environment.secure_random,
                                              environment.upstream, environment.observer);
    m_transport = std::make_unique<local_transport>(m_self.name, m_timers, *m_guard, environment.network);
    entry_settings entry;
    entry.self = m_self;
    entry.fields = fields;
    entry.calling_service = m_settings.service;
    entry.open_requests_are_nested = true;
    entry.status_implies_outcome = true;
    entry.fractional_retry_after = true;
    m_retry_bound.window = m_settings.retry_window;
    entry.make_retry_budget = [this] { return std::make_unique<windowed_retry_budget>(m_retry_bound, m_timers); };
    entry.upstream_repeat_share = [this] { return m_guard->repeat_share(); };
    m_entry = std::make_unique<entry_service>(
        std::move(entry),
        entry_dependencies{m_timers, environment.random, environment.secure_random, m_policy, *m_quotas, *m_throttle,
                           *m_selector, *m_registry, *m_transport, environment.observer, m_downstream.get(),
                           m_bottlenecks.get(), m_quarantine.get()});
    m_drain_adapter = std::make_unique<drain_adapter>(*this);
    const std::array<drain_participant*, 1> participants{m_drain_adapter.get()};
    const drain_settings drain{stop_settle_time, m_settings.stop_limit - stop_margin};
    m_drain = std::make_unique<drain_controller>(drain, m_timers, participants);
    update_retry_bound();
}

sidecar_node::~sidecar_node()
{
    m_timers.cancel(m_leaving_timer);
    m_registry->remove_listener(*this);
}

bool sidecar_node::ready() const
{
    return m_policy.has_configuration() && m_registry->has_joined() && !m_drain->draining();
}

bool sidecar_node::apply(host_configuration configuration)
{
    if (!m_policy.apply(std::move(configuration)))
        return false;
    std::vector<quota_limit> limits;
    for (const host_organisation& organisation : m_policy.configuration().organisations)
        limits.push_back({organisation.name, organisation.rate, organisation.burst});
    m_quotas->set_limits(std::move(limits));
    return true;
}

void sidecar_node::drain(std::function<void(std::size_t aborted_requests)> done)
{
    m_drain->start([this, done = std::move(done)](std::size_t aborted_requests) {
        m_registry->leave();
        done(aborted_requests);
    });
}

void sidecar_node::on_upstream_changed(const tracked_upstream& upstream)
{
    upstream_status status;
    status.present = true;
    status.instance = upstream.last_report.instance;
    status.instance_started_ms = upstream.last_report.born_ms;
    status.service = upstream.last_report.service;
    status.slots = upstream.last_report.slots;
    status.leaving_since = upstream.leaving_since;
    m_guard->set_upstream(std::move(status));
    publish_state();
}

void sidecar_node::on_upstream_leaving(leaving_source source)
{
    const auto& upstream = m_upstream.current();
    if (!upstream)
        return;
    upstream_report report = upstream->last_report;
    if (source == leaving_source::upstream) {
        m_upstream.deregister(report.instance, report.born_ms);
        return;
    }
    report.leaving = true;
    m_upstream.restore(std::move(report));
}

void sidecar_node::publish_state()
{
    const auto& upstream = m_upstream.current();
    std::string service = m_settings.service;
    if (upstream && !upstream->last_report.service.empty())
        service = upstream->last_report.service;
    member_state state = member_state::starting;
    if (m_drain_adapter->leaving() || (upstream && upstream->leaving_since)) {
        state = member_state::leaving;
    }
    else if (upstream) {
        state = member_state::serving;
    }
    member own;
    own.service = std::move(service);
    own.state = state;
    if (upstream) {
        own.instance = upstream->last_report.instance;
        own.instance_started_ms = upstream->last_report.born_ms;
        own.upstream_leaving = upstream->leaving_since.has_value();
        own.slots = own.upstream_leaving ? 0 : upstream->last_report.slots;
    }
    m_registry->set_own_record(own);
}

void sidecar_node::restore_upstream(const member& previous_run)
{
    if (previous_run.instance.empty())
        return;
    upstream_report report;
    report.instance = previous_run.instance;
    report.service = previous_run.service;
    report.slots = previous_run.slots;
    report.born_ms = previous_run.instance_started_ms;
    report.leaving = previous_run.upstream_leaving;
    m_upstream.restore(std::move(report));
}

void sidecar_node::on_member_changed(const member& /*changed*/)
{
    update_selector();
    update_retry_bound();
}

void sidecar_node::update_retry_bound()
{
    const double nodes = static_cast<double>(std::max<std::size_t>(m_registry->members().size(), 1));
    const double slack = m_settings.retry_slack * retry_bound_share / nodes;
    m_retry_bound.ratio = m_settings.retry_ratio * retry_bound_share;
    m_retry_bound.slack = std::max(slack, 1.0);
}

void sidecar_node::update_selector()
{
    m_selector->update(m_upstreams.update(m_registry->members(), m_timers.now()));
}

} // namespace mulberry
