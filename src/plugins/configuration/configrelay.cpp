#include "plugins/configuration/configrelayimplementation.h"

#include "libs/base/log.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace mulberry {

using configuration_messages::config_message;
using detail::max_fresh_age;
using detail::revision_allowed;

namespace {

constexpr std::string_view log_part = "configuration";
/// For this long after a change, watchers query all domains in every round, so that operators soon see where the change
/// is confirmed.
constexpr duration confirmation_poll_duration{std::chrono::seconds(10)};
constexpr duration anti_entropy_period{std::chrono::seconds(10)};
/// The confirmations of one change are spread at random over this time.
constexpr duration confirmation_spread{std::chrono::milliseconds(500)};
constexpr duration confirmation_period{std::chrono::seconds(30)};
/// Membership changes are collected for this long before the tree is rebuilt. When 1,400 members join at once, a
/// rebuild for each of them would take most of the processor time.
constexpr duration rebuild_delay{std::chrono::milliseconds(50)};
/// Nodes that pulled within this time are notified of changes.
constexpr duration child_lifetime{std::chrono::seconds(5)};

} // namespace

config_relay::implementation::implementation(config_relay_settings settings, timer_service& timers,
                                             random_source& random, control_link& link, key_value_store& store,
                                             member_directory& members, config_view& view)
    : m_settings(std::move(settings)), m_timers(timers), m_random(random), m_link(link), m_store(store),
      m_members(members), m_view(view), m_tree(m_settings.node, m_settings.domain), m_age(timers, m_settings.domains),
      m_anti_entropy(timers, anti_entropy_period, [this] { pull_from_random_member(); })
{
    m_age.add_domain(m_settings.domain);
    m_members.add_listener(*this);
    rebuild_tree();
    schedule_round(duration{0});
    m_watchers_timer = m_timers.schedule(duration{0}, [this] { pull_from_watchers(); });
    expedite_confirmation();
}

config_relay::implementation::~implementation()
{
    m_members.remove_listener(*this);
    for (const timer_id timer : {m_rebuild_timer, m_round_timer, m_watchers_timer, m_confirmation_timer})
        m_timers.cancel(timer);
    for (const auto& [sequence, pending] : m_pulls)
        m_timers.cancel(pending.timer);
}

// ---- Relay tree ----

void config_relay::implementation::on_member_changed(const member& changed)
{
    if (changed.state != member_state::dead)
        m_age.add_domain(changed.location.failure_domain);
    if (m_rebuild_timer != 0 || !m_tree.affected_by(changed))
        return;
    m_rebuild_timer = m_timers.schedule(rebuild_delay, [this] {
        m_rebuild_timer = 0;
        rebuild_tree();
    });
}

void config_relay::implementation::rebuild_tree()
{
    const std::vector<std::string> old_parents = m_tree.parents();
    const std::vector<std::string> old_watchers = m_tree.watchers_of(m_settings.domain);
    const std::size_t old_place = m_tree.place();
    m_tree.rebuild(m_members.members());
    if (m_tree.is_watcher() && (!m_watch || old_place != m_tree.place()))
        become_watcher();
    if (!m_tree.is_watcher())
        stop_watching();
    if (old_parents != m_tree.parents()) {
        m_use_second_parent = false;
        schedule_round(duration{0});
    }
    if (old_watchers != m_tree.watchers_of(m_settings.domain)) {
        m_partner_responded_at.reset();
        expedite_confirmation();
    }
}

void config_relay::implementation::become_watcher()
{
    const std::string key = fmt::format("documents-heartbeat/{}/{}", m_settings.domain, m_tree.place());
    log_info(log_part, "This node now watches the store for domain {}.", m_settings.domain);
    m_watch.reset();
    m_watch = std::make_unique<detail::store_watch>(key, m_timers, m_random, m_store, m_view, *this);
}

void config_relay::implementation::stop_watching()
{
    if (!m_watch)
        return;
    log_info(log_part, "This node no longer watches the store.");
    m_watch.reset();
    m_confirmed_revisions.clear();
}

std::string config_relay::implementation::partner() const
{
    for (const std::string& name : m_tree.watchers_of(m_settings.domain)) {
        if (name != m_settings.node)
            return name;
    }
    return {};
}

// ---- Events from the store ----

void config_relay::implementation::on_view_complete(time_point as_of)
{
    m_store_responded = true;
    m_age.set_complete_as_of(as_of);
    update_readiness();
}

void config_relay::implementation::on_store_responded()
{
    m_store_reached_at = m_timers.now();
}

void config_relay::implementation::on_store_failed()
{
    m_store_failed = true;
    update_readiness();
}

void config_relay::implementation::on_documents_changed()
{
    m_poll_confirmations_until = m_timers.now() + confirmation_poll_duration;
    notify_children();
    expedite_confirmation();
}

bool config_relay::implementation::is_store_unreachable() const
{
    return !m_store_reached_at || m_timers.now() - *m_store_reached_at > max_fresh_age;
}

void config_relay::implementation::accept(config_document document)
{
    if (m_view.apply(std::move(document)))
        on_documents_changed();
}

// ---- Readiness ----

void config_relay::implementation::record_source(std::string_view name, bool complete_and_ready)
{
    if (m_ready)
        return;
    m_queried_sources.emplace(name);
    m_ready_source_responded = m_ready_source_responded || complete_and_ready;
}

/// The node becomes ready when it has queried all its sources and either the store or a ready source has responded.
void config_relay::implementation::update_readiness()
{
    if (m_ready)
        return;
    const auto was_queried = [this](const std::string& name) { return m_queried_sources.contains(name); };
    bool all_queried = std::all_of(m_tree.parents().begin(), m_tree.parents().end(), was_queried);
    if (m_tree.is_watcher()) {
        if (!m_store_responded && !m_store_failed)
            return;
        m_ready = m_store_responded;
        for (const auto& [domain, names] : m_tree.watchers()) {
            // For another domain, a query to one of its watchers is enough.
            const bool is_own_domain = domain == m_settings.domain;
            all_queried = all_queried && (is_own_domain ? partner().empty() || was_queried(partner())
                                                        : std::any_of(names.begin(), names.end(), was_queried));
        }
    }
    m_ready = m_ready || (m_ready_source_responded && all_queried);
    if (!m_ready)
        return;
    m_queried_sources.clear();
    log_info(log_part, "The node is ready: its configuration is complete up to revision {}.",
             m_view.complete_revision());
}

// ---- Statements, notices and confirmations ----

/// The own domain's statement combines both watchers, so it is as old as the other watcher's last report. It is left
/// as it is until the other watcher has reported.
void config_relay::implementation::update_own_statement()
{
    const time_point now = m_timers.now();
    const bool is_sole_watcher = partner().empty();
    if (!is_sole_watcher && !m_partner_responded_at)
        return;
    domain_statement statement{m_settings.domain, is_sole_watcher ? duration{0} : now - *m_partner_responded_at,
                               std::nullopt, m_view.newest_revision(), confirmed_by_domain()};
    const auto reached = std::max(m_store_reached_at, m_partner_reached_at);
    if (reached)
        statement.store_reached_ago = now - *reached;
    m_age.record_statement(statement, now);
}

std::vector<domain_statement> config_relay::implementation::statements()
{
    if (m_tree.is_watcher())
        update_own_statement();
    return m_age.statements();
}

void config_relay::implementation::notify_children()
{
    std::erase_if(m_children, [this](const auto& each) { return m_timers.now() - each.second > child_lifetime; });
    std::set<std::string> receivers(m_tree.children().begin(), m_tree.children().end());
    for (const auto& [name, pulled_at] : m_children)
        receivers.insert(name);
    config_message message;
    message.mutable_notice()->set_revision(held_revision());
    for (const std::string& name : receivers)
        send(name, message);
}

void config_relay::implementation::expedite_confirmation()
{
    if (m_confirmation_is_expedited)
        return;
    m_confirmation_is_expedited = true;
    m_timers.cancel(m_confirmation_timer);
    const auto spread = static_cast<std::uint64_t>(confirmation_spread.count());
    m_confirmation_timer = m_timers.schedule(duration{static_cast<std::int64_t>(m_random.uniform(spread))},
                                             [this] { send_confirmation(); });
}

void config_relay::implementation::send_confirmation()
{
    m_confirmation_is_expedited = false;
    m_confirmation_timer = m_timers.schedule(confirmation_period, [this] { send_confirmation(); });
    config_message message;
    message.mutable_confirmation()->set_revision(m_view.complete_revision());
    for (const std::string& name : m_tree.watchers_of(m_settings.domain)) {
        if (name != m_settings.node)
            send(name, message);
    }
}

void config_relay::implementation::handle_confirmation(std::string_view from, std::int64_t revision)
{
    if (!m_tree.is_watcher() || m_members.find(from) == nullptr || !revision_allowed(revision))
        return;
    std::int64_t& confirmed = m_confirmed_revisions[std::string(from)];
    confirmed = std::max(confirmed, revision);
}

std::int64_t config_relay::implementation::confirmed_by_domain()
{
    std::int64_t lowest = m_view.complete_revision();
    for (const member& record : m_members.members()) {
        const bool counts = record.location.failure_domain == m_settings.domain && record.id.name != m_settings.node;
        if (!counts)
            continue;
        const auto it = m_confirmed_revisions.find(record.id.name);
        lowest = std::min(lowest, it == m_confirmed_revisions.end() ? 0 : it->second);
    }
    return lowest;
}

pending_confirmations config_relay::implementation::unconfirmed(std::int64_t revision)
{
    pending_confirmations pending;
    for (const member& record : m_members.members()) {
        const bool in_domain = record.location.failure_domain == m_settings.domain;
        if (!in_domain || (!m_tree.is_watcher() && record.id.name != m_settings.node))
            continue;
        const auto it = m_confirmed_revisions.find(record.id.name);
        std::int64_t confirmed = it == m_confirmed_revisions.end() ? 0 : it->second;
        if (record.id.name == m_settings.node)
            confirmed = m_view.complete_revision();
        if (confirmed < revision)
            pending.nodes.push_back(record.id.name);
    }
    std::sort(pending.nodes.begin(), pending.nodes.end());
    std::set<std::string, std::less<>> unconfirmed_domains(m_settings.domains.begin(), m_settings.domains.end());
    unconfirmed_domains.insert(m_settings.domain);
    for (const domain_statement& statement : statements()) {
        if (statement.confirmed_revision >= revision)
            unconfirmed_domains.erase(statement.domain);
    }
    pending.domains.assign(unconfirmed_domains.begin(), unconfirmed_domains.end());
    return pending;
}

// ---- Public class ----

config_relay::config_relay(config_relay_settings settings, timer_service& timers, random_source& random,
                           control_link& link, key_value_store& store, member_directory& members, config_view& view)
    : m_implementation(
          std::make_unique<implementation>(std::move(settings), timers, random, link, store, members, view))
{
}

config_relay::~config_relay() = default;

bool config_relay::is_watcher() const
{
    return m_implementation->tree().is_watcher();
}

std::vector<std::string> config_relay::watchers(std::string_view domain) const
{
    return m_implementation->tree().watchers_of(domain);
}

std::vector<std::string> config_relay::parents() const
{
    return m_implementation->tree().parents();
}

bool config_relay::ready() const
{
    return m_implementation->ready();
}

std::optional<duration> config_relay::age() const
{
    return m_implementation->age().age();
}

bool config_relay::keyed_requests_allowed() const
{
    return m_implementation->keyed_requests_allowed();
}

void config_relay::set_view_limit(duration limit)
{
    m_implementation->set_view_limit(limit);
}

std::vector<domain_statement> config_relay::statements() const
{
    return m_implementation->statements();
}

pending_confirmations config_relay::unconfirmed(std::int64_t revision) const
{
    return m_implementation->unconfirmed(revision);
}

void config_relay::accept(config_document document)
{
    m_implementation->accept(std::move(document));
}

void config_relay::record_store_response()
{
    m_implementation->on_store_responded();
}

void config_relay::on_message(std::string_view from, std::string_view payload)
{
    m_implementation->receive(from, payload);
}

} // namespace mulberry
