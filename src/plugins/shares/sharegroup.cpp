#include "plugins/shares/sharegroup.h"

#include "libs/base/log.h"

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
      m_client(settings, number, timers, random, *this), m_keeper(settings, number, timers, random, store, *this),
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
    m_client.set_limits(organisation, limits);
    m_keeper.set_limits(organisation, limits);
}

void share_group::remove_limits(std::string_view organisation)
{
    m_client.remove_limits(organisation);
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
        return m_client.on_grant(from, message.grant());
    case messages::envelope::kKeeperChange:
        return on_keeper_change(message.keeper_change());
    case messages::envelope::BODY_NOT_SET:
        ++m_rejected;
        return;
    }
}

// Keeper -----------------------------------------------------------------------------------------------------------

void share_group::on_keeper_change(const messages::keeper_change& change)
{
    if (m_keeper.active() || change.epoch() < m_client.epoch() || change.keeper() == m_settings.node.name)
        return;
    if (change.keeper().empty())
        return on_keeper_named({}, change.epoch());
    m_client.set_keeper(change.keeper(), change.epoch());
}

void share_group::on_keeper_named(const std::string& name, std::uint64_t epoch)
{
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
    std::ranges::move(m_client.status(), std::back_inserter(status.organisations));
    status.groups.push_back({m_client.keeper(), m_client.epoch(), m_keeper.active(), m_keeper.store_calls(), m_sent,
                             m_rejected, m_keeper.status()});
}

} // namespace mulberry::shares
