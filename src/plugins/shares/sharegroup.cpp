#include "plugins/shares/sharegroup.h"

#include "libs/base/log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberry::shares {

namespace {

/// Random delays, so that nodes that start or lose their coordinator at the same time do not all access the store at
/// once.
constexpr duration start_spread = std::chrono::milliseconds(200);
constexpr duration vacancy_spread = std::chrono::milliseconds(500);
constexpr duration death_spread = std::chrono::seconds(1);
constexpr duration check_interval = std::chrono::seconds(5);
constexpr duration replacement_gap = std::chrono::seconds(30);
/// A coordinator that still renews its lease but has not responded for this many times coordinator_timeout is replaced
/// nevertheless, because its domain may be partitioned for a long time.
constexpr int unreachable_factor = 5;

} // namespace

share_group::share_group(const share_settings& settings, std::uint32_t number, timer_service& timers,
                         random_source& random, control_link& link, key_value_store& store)
    : m_settings(settings), m_timers(timers), m_random(random), m_link(link), m_alive(std::make_shared<bool>(true)),
      m_number(number), m_client(settings, number, timers, random, *this, false),
      m_coordinator(settings, number, timers, random, store, *this),
      m_check_timer(timers, check_interval, [this] { check_coordinator(); })
{
    const auto bound = static_cast<std::uint64_t>(start_spread.count());
    schedule(duration{static_cast<std::int64_t>(random.uniform(bound))},
             [this] { m_coordinator.look_up_coordinator(); });
}

share_group::~share_group() = default;

void share_group::schedule(duration delay, std::function<void()> callback)
{
    m_timers.schedule(delay, [weak = std::weak_ptr(m_alive), callback = std::move(callback)] {
        if (!weak.expired())
            callback();
    });
}

void share_group::set_limits(std::string_view organisation, rate_limit limits)
{
    m_limits.insert_or_assign(std::string(organisation), limits);
    m_client.set_limits(organisation, limits);
    for (const auto& [domain, client] : m_remote_clients)
        client->set_limits(organisation, limits);
    m_coordinator.set_limits(organisation, limits);
}

void share_group::remove_limits(std::string_view organisation)
{
    m_limits.erase(std::string(organisation));
    m_client.remove_limits(organisation);
    for (const auto& [domain, client] : m_remote_clients)
        client->remove_limits(organisation);
    m_coordinator.set_limits(organisation, {});
}

void share_group::send(std::string_view to, const messages::envelope& message)
{
    if (to != m_settings.node.name) {
        ++m_messages_sent;
        return m_link.send(to, control_channel::shares, message.SerializeAsString());
    }
    schedule(duration{0}, [this, message] { on_message(m_settings.node.name, message); });
}

void share_group::on_message(std::string_view from, const messages::envelope& message)
{
    switch (message.body_case()) {
    case messages::envelope::kReport:
        return m_coordinator.on_report(from, message.report());
    case messages::envelope::kGrant:
        return client_for_coordinator(from).on_grant(from, message.grant());
    case messages::envelope::kKeeperChange:
        return on_coordinator_change(message.keeper_change());
    case messages::envelope::BODY_NOT_SET:
        ++m_messages_rejected;
        return;
    }
}

void share_group::admit(std::string_view organisation, share_client::admit_callback done)
{
    if (m_client.try_admit(organisation) || try_remote_admit(organisation))
        return done(std::nullopt);
    wait_for_grant(std::string(organisation), m_settings.grant_wait, std::move(done));
}

void share_group::wait_for_grant(std::string organisation, duration max_wait, share_client::admit_callback done)
{
    const time_point deadline = m_timers.now() + max_wait;
    const std::string name = organisation;
    m_client.wait_for_token(
        name, max_wait,
        [this, organisation = std::move(organisation), max_wait, deadline,
         done = std::move(done)](std::optional<refusal> refused) mutable {
            if (!refused)
                return done(refused);
            if (max_wait < m_settings.coordinator_change_wait && is_coordinator_changing()) {
                return wait_for_grant(std::move(organisation), m_settings.coordinator_change_wait, std::move(done));
            }
            if (!m_client.may_borrow(organisation))
                return done(refused);
            request_remote_grant({std::move(organisation), std::move(done), *refused, deadline, {}});
        });
}

/// True for a limited time after the coordinator has resigned, until the successor is named.
bool share_group::is_coordinator_changing() const
{
    return m_client.coordinator().empty() && m_timers.now() - m_vacant_since < 2 * m_settings.coordinator_change_wait;
}

/// Uses a token of another domain that arrived too late for the request that caused it.
bool share_group::try_remote_admit(std::string_view organisation)
{
    return std::ranges::any_of(m_remote_clients,
                               [organisation](const auto& entry) { return entry.second->try_admit(organisation); });
}

/// Requests a token from the coordinators of the other domains, the nearest first, until one grants it or the deadline
/// has passed.
void share_group::request_remote_grant(remote_request request)
{
    const duration remaining = request.deadline - m_timers.now();
    share_client* nearest = nullptr;
    std::string domain_name;
    for (const auto& [domain, client] : m_remote_clients) {
        const bool already_tried = std::ranges::find(request.tried_domains, domain) != request.tried_domains.end();
        if (already_tried || !client->can_request(request.organisation))
            continue;
        if (nearest != nullptr && nearest->round_trip() <= client->round_trip())
            continue;
        nearest = client.get();
        domain_name = domain;
    }
    if (nearest == nullptr || remaining <= duration{0} || m_stopping)
        return request.done(request.refused);
    request.tried_domains.push_back(domain_name);
    const std::string name = request.organisation;
    nearest->wait_for_token(name, remaining,
                            [this, request = std::move(request)](const std::optional<refusal>& refused) mutable {
                                if (!refused) {
                                    ++m_remote_admissions[request.organisation];
                                    return request.done(std::nullopt);
                                }
                                request_remote_grant(std::move(request));
                            });
}

share_client& share_group::remote_client(const std::string& domain)
{
    std::unique_ptr<share_client>& client = m_remote_clients[domain];
    if (client)
        return *client;
    client = std::make_unique<share_client>(m_settings, m_number, m_timers, m_random, *this, true);
    for (const auto& [organisation, limits] : m_limits)
        client->set_limits(organisation, limits);
    return *client;
}

/// Returns the remote client of this coordinator, or the client of the node's own domain if there is none.
share_client& share_group::client_for_coordinator(std::string_view coordinator)
{
    for (const auto& [domain, client] : m_remote_clients) {
        if (client->coordinator() == coordinator)
            return *client;
    }
    return m_client;
}

void share_group::on_coordinators_listed(const messages::grant& grant)
{
    const std::vector<std::string> listed = m_settings.failure_domains();
    for (const messages::named_keeper& named : grant.others()) {
        const bool is_listed = std::ranges::find(listed, named.domain()) != listed.end();
        if (is_listed && named.domain() != m_settings.failure_domain && named.keeper() != m_settings.node.name)
            remote_client(named.domain()).set_coordinator(named.keeper(), named.epoch());
    }
}

void share_group::on_coordinator_change(const messages::keeper_change& change)
{
    if (change.domain() != m_settings.failure_domain) {
        const auto found = m_remote_clients.find(change.domain());
        if (found != m_remote_clients.end())
            found->second->set_coordinator(change.keeper(), change.epoch());
        return;
    }
    if (m_coordinator.is_active() || change.epoch() < m_client.epoch() || change.keeper() == m_settings.node.name)
        return;
    if (change.keeper().empty())
        return on_coordinator_named({}, change.epoch());
    m_client.set_coordinator(change.keeper(), change.epoch());
}

void share_group::on_coordinator_named(const std::string& name, std::uint64_t epoch)
{
    if (name.empty() && !m_client.coordinator().empty())
        m_vacant_since = m_timers.now();
    m_client.set_coordinator(name, epoch);
    if (name.empty())
        schedule_replacement(epoch, vacancy_spread);
}

void share_group::schedule_replacement(std::uint64_t epoch, duration max_delay)
{
    if (m_replacement_scheduled || m_stopping || m_coordinator.is_active())
        return;
    m_replacement_scheduled = true;
    const auto bound = static_cast<std::uint64_t>(max_delay.count());
    schedule(duration{static_cast<std::int64_t>(m_random.uniform(bound))}, [this, epoch] {
        m_replacement_scheduled = false;
        if (m_client.epoch() <= epoch && !m_stopping)
            m_coordinator.replace(epoch);
    });
}

void share_group::on_member_dead(std::string_view name)
{
    if (name == m_client.coordinator() && name != m_settings.node.name)
        schedule_replacement(m_client.epoch(), death_spread);
}

void share_group::check_coordinator()
{
    const time_point now = m_timers.now();
    if (m_stopping || m_coordinator.is_active() || now < m_next_replacement)
        return;
    if (m_client.coordinator().empty())
        return m_coordinator.look_up_coordinator();
    if (now - m_client.last_contact() < m_settings.coordinator_timeout)
        return;
    m_next_replacement = now + replacement_gap;
    // A coordinator that still renews its lease may be unreachable from this node only; replacing it would disrupt the
    // other nodes.
    if (now - m_client.last_contact() >= unreachable_factor * m_settings.coordinator_timeout)
        return schedule_replacement(m_client.epoch(), check_interval);
    m_coordinator.replace_if_stale(m_client.epoch());
}

void share_group::on_role_lost(const share_map& remaining, time_point end)
{
    m_client.take_over(remaining, end);
}

void share_group::drain(std::function<void()> done)
{
    m_stopping = true;
    m_on_drained = std::move(done);
    schedule(m_settings.drain_limit, [this] { finish_drain(); });
    for (const auto& [domain, client] : m_remote_clients)
        client->drain([] {});
    m_client.drain([this] { m_coordinator.resign(); });
}

void share_group::on_resigned()
{
    finish_drain();
}

void share_group::finish_drain()
{
    if (m_on_drained)
        std::exchange(m_on_drained, nullptr)();
}

void share_group::add_status(share_status& status) const
{
    std::vector<organisation_status> all = m_client.status();
    for (organisation_status& entry : all) {
        if (const auto found = m_remote_admissions.find(entry.organisation); found != m_remote_admissions.end())
            entry.refused -= found->second;
    }
    for (const auto& [domain, client] : m_remote_clients) {
        for (const organisation_status& remote_entry : client->status()) {
            const auto entry = std::ranges::find(all, remote_entry.organisation, &organisation_status::organisation);
            if (entry == all.end())
                continue;
            entry->held_rate += remote_entry.held_rate;
            entry->held_capacity += remote_entry.held_capacity;
            entry->level += remote_entry.level;
            entry->admitted += remote_entry.admitted;
        }
    }
    std::ranges::move(all, std::back_inserter(status.organisations));
    status.groups.push_back({m_client.coordinator(), m_client.epoch(), m_coordinator.is_active(),
                             m_coordinator.store_calls(), m_messages_sent, m_messages_rejected,
                             m_coordinator.status()});
}

} // namespace mulberry::shares
