#include "plugins/shares/sharegroup.h"

#include "libs/base/log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberry::shares {

namespace {

/// Nodes that start or lose their keeper together do not reach the store together.
constexpr duration start_spread = std::chrono::milliseconds(200);
constexpr duration vacancy_spread = std::chrono::milliseconds(500);
constexpr duration death_spread = std::chrono::seconds(1);
constexpr duration watch_interval = std::chrono::seconds(5);
constexpr duration attempt_gap = std::chrono::seconds(30);
/// A keeper that renews but has not answered for this many times keeper_silence is replaced after all, because a
/// domain may be split for long.
constexpr int unreachable_factor = 5;

} // namespace

share_group::share_group(const share_settings& settings, std::uint32_t number, timer_service& timers,
                         random_source& random, control_link& link, key_value_store& store)
    : m_settings(settings), m_timers(timers), m_random(random), m_link(link), m_alive(std::make_shared<bool>(true)),
      m_number(number), m_client(settings, number, timers, random, *this, false),
      m_keeper(settings, number, timers, random, store, *this),
      m_watch(timers, watch_interval, [this] { watch_keeper(); })
{
    const auto bound = static_cast<std::uint64_t>(start_spread.count());
    schedule(duration{static_cast<std::int64_t>(random.uniform(bound))}, [this] { m_keeper.look_up(); });
}

share_group::~share_group() = default;

void share_group::schedule(duration delay, std::function<void()> callback)
{
    m_timers.schedule(delay, [weak = std::weak_ptr(m_alive), callback = std::move(callback)] {
        if (!weak.expired())
            callback();
    });
}

void share_group::set_limits(std::string_view organisation, figure limits)
{
    m_limits.insert_or_assign(std::string(organisation), limits);
    m_client.set_limits(organisation, limits);
    for (const auto& [domain, client] : m_foreign)
        client->set_limits(organisation, limits);
    m_keeper.set_limits(organisation, limits);
}

void share_group::remove_limits(std::string_view organisation)
{
    m_limits.erase(std::string(organisation));
    m_client.remove_limits(organisation);
    for (const auto& [domain, client] : m_foreign)
        client->remove_limits(organisation);
    m_keeper.set_limits(organisation, {});
}

void share_group::send(std::string_view to, const messages::envelope& message)
{
    if (to != m_settings.node.name) {
        ++m_sent;
        return m_link.send(to, control_channel::shares, message.SerializeAsString());
    }
    schedule(duration{0}, [this, message] { on_message(m_settings.node.name, message); });
}

void share_group::on_message(std::string_view from, const messages::envelope& message)
{
    switch (message.body_case()) {
    case messages::envelope::kReport:
        return m_keeper.on_report(from, message.report());
    case messages::envelope::kGrant:
        return client_of(from).on_grant(from, message.grant());
    case messages::envelope::kKeeperChange:
        return on_keeper_change(message.keeper_change());
    case messages::envelope::BODY_NOT_SET:
        ++m_rejected;
        return;
    }
}

// Admission --------------------------------------------------------------------------------------------------------

void share_group::admit(std::string_view organisation, share_client::admit_callback done)
{
    if (m_client.try_admit(organisation) || take_borrowed(organisation))
        return done(std::nullopt);
    wait_for_grant(std::string(organisation), m_settings.grant_wait, std::move(done));
}

void share_group::wait_for_grant(std::string organisation, duration longest, share_client::admit_callback done)
{
    const time_point deadline = m_timers.now() + longest;
    const std::string name = organisation;
    m_client.wait(name, longest,
                  [this, organisation = std::move(organisation), longest, deadline,
                   done = std::move(done)](std::optional<refusal> refused) mutable {
                      if (!refused)
                          return done(refused);
                      if (longest < m_settings.keeper_change_wait && keeper_is_changing()) {
                          return wait_for_grant(std::move(organisation), m_settings.keeper_change_wait,
                                                std::move(done));
                      }
                      if (!m_client.may_borrow(organisation))
                          return done(refused);
                      borrow({std::move(organisation), std::move(done), *refused, deadline, {}});
                  });
}

/// True for a moment after the keeper has resigned, until its successor has named itself.
bool share_group::keeper_is_changing() const
{
    return m_client.keeper().empty() && m_timers.now() - m_vacant_since < 2 * m_settings.keeper_change_wait;
}

/// Uses a borrowed token that came too late for its request.
bool share_group::take_borrowed(std::string_view organisation)
{
    return std::ranges::any_of(m_foreign,
                               [organisation](const auto& entry) { return entry.second->try_admit(organisation); });
}

/// Asks the keepers of the other domains, the nearest first, until one lends a token or the time is over.
void share_group::borrow(borrower request)
{
    const duration left = request.deadline - m_timers.now();
    share_client* nearest = nullptr;
    std::string domain_name;
    for (const auto& [domain, client] : m_foreign) {
        const bool asked = std::ranges::find(request.asked, domain) != request.asked.end();
        if (asked || !client->can_ask(request.organisation))
            continue;
        if (nearest != nullptr && nearest->round_trip() <= client->round_trip())
            continue;
        nearest = client.get();
        domain_name = domain;
    }
    if (nearest == nullptr || left <= duration{0} || m_stopping)
        return request.done(request.refused);
    request.asked.push_back(domain_name);
    const std::string name = request.organisation;
    nearest->wait(name, left, [this, request = std::move(request)](const std::optional<refusal>& refused) mutable {
        if (!refused) {
            ++m_rescued[request.organisation];
            return request.done(std::nullopt);
        }
        borrow(std::move(request));
    });
}

share_client& share_group::foreign_client(const std::string& domain)
{
    std::unique_ptr<share_client>& client = m_foreign[domain];
    if (client)
        return *client;
    client = std::make_unique<share_client>(m_settings, m_number, m_timers, m_random, *this, true);
    for (const auto& [organisation, limits] : m_limits)
        client->set_limits(organisation, limits);
    return *client;
}

/// The client whose keeper this is; the own domain's if there is none.
share_client& share_group::client_of(std::string_view keeper)
{
    for (const auto& [domain, client] : m_foreign) {
        if (client->keeper() == keeper)
            return *client;
    }
    return m_client;
}

void share_group::on_keepers_listed(const messages::grant& grant)
{
    const std::vector<std::string> listed = m_settings.failure_domains();
    for (const messages::named_keeper& named : grant.others()) {
        const bool known = std::ranges::find(listed, named.domain()) != listed.end();
        if (known && named.domain() != m_settings.failure_domain && named.keeper() != m_settings.node.name)
            foreign_client(named.domain()).set_keeper(named.keeper(), named.epoch());
    }
}

// Keeper -----------------------------------------------------------------------------------------------------------

void share_group::on_keeper_change(const messages::keeper_change& change)
{
    if (change.domain() != m_settings.failure_domain) {
        const auto found = m_foreign.find(change.domain());
        if (found != m_foreign.end())
            found->second->set_keeper(change.keeper(), change.epoch());
        return;
    }
    if (m_keeper.active() || change.epoch() < m_client.epoch() || change.keeper() == m_settings.node.name)
        return;
    if (change.keeper().empty())
        return on_keeper_named({}, change.epoch());
    m_client.set_keeper(change.keeper(), change.epoch());
}

void share_group::on_keeper_named(const std::string& name, std::uint64_t epoch)
{
    if (name.empty() && !m_client.keeper().empty())
        m_vacant_since = m_timers.now();
    m_client.set_keeper(name, epoch);
    if (name.empty())
        replace_later(epoch, vacancy_spread);
}

void share_group::replace_later(std::uint64_t epoch, duration longest_delay)
{
    if (m_replacing || m_stopping || m_keeper.active())
        return;
    m_replacing = true;
    const auto bound = static_cast<std::uint64_t>(longest_delay.count());
    schedule(duration{static_cast<std::int64_t>(m_random.uniform(bound))}, [this, epoch] {
        m_replacing = false;
        if (m_client.epoch() <= epoch && !m_stopping)
            m_keeper.replace(epoch);
    });
}

void share_group::on_member_dead(std::string_view name)
{
    if (name == m_client.keeper() && name != m_settings.node.name)
        replace_later(m_client.epoch(), death_spread);
}

void share_group::watch_keeper()
{
    const time_point now = m_timers.now();
    if (m_stopping || m_keeper.active() || now < m_next_attempt)
        return;
    if (m_client.keeper().empty())
        return m_keeper.look_up();
    if (now - m_client.heard() < m_settings.keeper_silence)
        return;
    m_next_attempt = now + attempt_gap;
    // A keeper that still renews may be out of this node's reach only; replacing it would take it from the others.
    if (now - m_client.heard() >= unreachable_factor * m_settings.keeper_silence)
        return replace_later(m_client.epoch(), watch_interval);
    m_keeper.replace_if_stale(m_client.epoch());
}

void share_group::on_role_lost(const share_map& remaining, time_point end)
{
    m_client.take_over(remaining, end);
}

// Planned stop -----------------------------------------------------------------------------------------------------

void share_group::drain(std::function<void()> done)
{
    m_stopping = true;
    m_drained = std::move(done);
    schedule(m_settings.drain_limit, [this] { finish_drain(); });
    for (const auto& [domain, client] : m_foreign)
        client->drain([] {});
    m_client.drain([this] { m_keeper.resign(); });
}

void share_group::on_resigned()
{
    finish_drain();
}

void share_group::finish_drain()
{
    if (m_drained)
        std::exchange(m_drained, nullptr)();
}

void share_group::add_status(share_status& status) const
{
    std::vector<organisation_status> all = m_client.status();
    for (organisation_status& entry : all) {
        if (const auto found = m_rescued.find(entry.organisation); found != m_rescued.end())
            entry.refused -= found->second;
    }
    for (const auto& [domain, client] : m_foreign) {
        for (const organisation_status& borrowed : client->status()) {
            const auto entry = std::ranges::find(all, borrowed.organisation, &organisation_status::organisation);
            if (entry == all.end())
                continue;
            entry->held_rate += borrowed.held_rate;
            entry->held_capacity += borrowed.held_capacity;
            entry->level += borrowed.level;
            entry->admitted += borrowed.admitted;
        }
    }
    std::ranges::move(all, std::back_inserter(status.organisations));
    status.groups.push_back({m_client.keeper(), m_client.epoch(), m_keeper.active(), m_keeper.store_calls(), m_sent,
                             m_rejected, m_keeper.status()});
}

} // namespace mulberry::shares
