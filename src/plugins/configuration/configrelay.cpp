#include "plugins/configuration/configrelayimplementation.h"

#include "libs/base/log.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace mulberry {

using configuration_messages::config_message;
using detail::good_age;
using detail::revision_allowed;

namespace {

constexpr std::string_view log_part = "configuration";
/// After a change, watchers ask all domains for this long, so that operators soon see where it is confirmed.
constexpr duration confirming_time{std::chrono::seconds(10)};
constexpr duration anti_entropy_period{std::chrono::seconds(10)};
/// Confirmations of one change come spread over this time.
constexpr duration confirmation_spread{std::chrono::milliseconds(500)};
constexpr duration confirmation_period{std::chrono::seconds(30)};
/// Members change in groups; when 1,400 join at once, a rebuild for each would take most of the processor time.
constexpr duration rebuild_delay{std::chrono::milliseconds(50)};
/// A node that pulled within this time is told of changes.
constexpr duration child_lifetime{std::chrono::seconds(5)};

} // namespace

config_relay::implementation::implementation(config_relay_settings settings, timer_service& timers,
                                             random_source& random, control_link& link, key_value_store& store,
                                             member_directory& members, config_view& view)
    : m_settings(std::move(settings)), m_timers(timers), m_random(random), m_link(link), m_store(store),
      m_members(members), m_view(view), m_tree(m_settings.node, m_settings.domain), m_age(timers, m_settings.domains),
      m_anti_entropy(timers, anti_entropy_period, [this] { ask_anyone(); })
{
    m_age.add_domain(m_settings.domain);
    m_members.add_listener(*this);
    rebuild_tree();
    schedule_round(duration{0});
    m_watchers_timer = m_timers.schedule(duration{0}, [this] { ask_watchers(); });
    confirm_soon();
}

config_relay::implementation::~implementation()
{
    m_members.remove_listener(*this);
    for (const timer_id timer : {m_rebuild_timer, m_round_timer, m_watchers_timer, m_confirmation_timer})
        m_timers.cancel(timer);
    for (const auto& [sequence, pending] : m_pulls)
        m_timers.cancel(pending.timer);
}

// ---- The tree ----

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
        m_partner_heard_at.reset();
        confirm_soon();
    }
}

void config_relay::implementation::become_watcher()
{
    const std::string key = fmt::format("documents-heartbeat/{}/{}", m_settings.domain, m_tree.place());
    log_info(log_part, "This node watches the store for domain {}.", m_settings.domain);
    m_watch.reset();
    m_watch = std::make_unique<detail::store_watch>(key, m_timers, m_random, m_store, m_view, *this);
}

void config_relay::implementation::stop_watching()
{
    if (!m_watch)
        return;
    log_info(log_part, "This node no longer watches the store.");
    m_watch.reset();
    m_confirmed.clear();
}

std::string config_relay::implementation::partner() const
{
    for (const std::string& name : m_tree.watchers_of(m_settings.domain)) {
        if (name != m_settings.node)
            return name;
    }
    return {};
}

// ---- What the store says ----

void config_relay::implementation::on_fresh(time_point as_of)
{
    m_store_answered = true;
    m_age.set_fresh_at(as_of);
    decide_ready();
}

void config_relay::implementation::on_store_reached()
{
    m_store_reached_at = m_timers.now();
}

void config_relay::implementation::on_store_failed()
{
    m_store_failed_once = true;
    decide_ready();
}

void config_relay::implementation::on_documents_changed()
{
    m_confirming_until = m_timers.now() + confirming_time;
    tell_children();
    confirm_soon();
}

bool config_relay::implementation::store_is_missing() const
{
    return !m_store_reached_at || m_timers.now() - *m_store_reached_at > good_age;
}

void config_relay::implementation::accept(config_document document)
{
    if (m_view.apply(std::move(document)))
        on_documents_changed();
}

// ---- Readiness ----

void config_relay::implementation::note_source(std::string_view name, bool complete_and_ready)
{
    if (m_ready)
        return;
    m_asked_sources.emplace(name);
    m_heard_ready_source = m_heard_ready_source || complete_and_ready;
}

/// Ready when all sources have been asked and the store or a ready source has answered.
void config_relay::implementation::decide_ready()
{
    if (m_ready)
        return;
    const auto asked = [this](const std::string& name) { return m_asked_sources.contains(name); };
    bool all_asked = std::all_of(m_tree.parents().begin(), m_tree.parents().end(), asked);
    if (m_tree.is_watcher()) {
        if (!m_store_answered && !m_store_failed_once)
            return;
        m_ready = m_store_answered;
        for (const auto& [domain, names] : m_tree.watchers()) {
            // One watcher of each other domain is enough.
            const bool own = domain == m_settings.domain;
            all_asked = all_asked &&
                        (own ? partner().empty() || asked(partner()) : std::any_of(names.begin(), names.end(), asked));
        }
    }
    m_ready = m_ready || (m_heard_ready_source && all_asked);
    if (!m_ready)
        return;
    m_asked_sources.clear();
    log_info(log_part, "The configuration is known up to revision {}.", m_view.complete_revision());
}

// ---- Statements, notices and confirmations ----

/// The statement of the own domain is as old as what the other watcher said of itself.
void config_relay::implementation::hear_own_domain()
{
    const time_point now = m_timers.now();
    const bool alone = partner().empty();
    if (!alone && !m_partner_heard_at)
        return;
    domain_statement statement{m_settings.domain, alone ? duration{0} : now - *m_partner_heard_at, std::nullopt,
                               m_view.newest_revision(), confirmed_by_domain()};
    const auto reached = std::max(m_store_reached_at, m_partner_reached_at);
    if (reached)
        statement.store_reached_ago = now - *reached;
    m_age.hear(statement, now);
}

std::vector<domain_statement> config_relay::implementation::statements()
{
    if (m_tree.is_watcher())
        hear_own_domain();
    return m_age.statements();
}

void config_relay::implementation::tell_children()
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

void config_relay::implementation::confirm_soon()
{
    if (m_confirmation_is_soon)
        return;
    m_confirmation_is_soon = true;
    m_timers.cancel(m_confirmation_timer);
    const auto spread = static_cast<std::uint64_t>(confirmation_spread.count());
    m_confirmation_timer =
        m_timers.schedule(duration{static_cast<std::int64_t>(m_random.uniform(spread))}, [this] { confirm(); });
}

void config_relay::implementation::confirm()
{
    m_confirmation_is_soon = false;
    m_confirmation_timer = m_timers.schedule(confirmation_period, [this] { confirm(); });
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
    std::int64_t& confirmed = m_confirmed[std::string(from)];
    confirmed = std::max(confirmed, revision);
}

std::int64_t config_relay::implementation::confirmed_by_domain()
{
    std::int64_t lowest = m_view.complete_revision();
    for (const member& record : m_members.members()) {
        const bool counts = record.location.failure_domain == m_settings.domain && record.id.name != m_settings.node;
        if (!counts)
            continue;
        const auto it = m_confirmed.find(record.id.name);
        lowest = std::min(lowest, it == m_confirmed.end() ? 0 : it->second);
    }
    return lowest;
}

unconfirmed_parts config_relay::implementation::unconfirmed(std::int64_t revision)
{
    unconfirmed_parts parts;
    for (const member& record : m_members.members()) {
        const bool in_domain = record.location.failure_domain == m_settings.domain;
        if (!in_domain || (!m_tree.is_watcher() && record.id.name != m_settings.node))
            continue;
        const auto it = m_confirmed.find(record.id.name);
        std::int64_t confirmed = it == m_confirmed.end() ? 0 : it->second;
        if (record.id.name == m_settings.node)
            confirmed = m_view.complete_revision();
        if (confirmed < revision)
            parts.nodes.push_back(record.id.name);
    }
    std::sort(parts.nodes.begin(), parts.nodes.end());
    std::set<std::string, std::less<>> silent(m_settings.domains.begin(), m_settings.domains.end());
    silent.insert(m_settings.domain);
    for (const domain_statement& statement : statements()) {
        if (statement.confirmed_revision >= revision)
            silent.erase(statement.domain);
    }
    parts.domains.assign(silent.begin(), silent.end());
    return parts;
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

unconfirmed_parts config_relay::unconfirmed(std::int64_t revision) const
{
    return m_implementation->unconfirmed(revision);
}

void config_relay::accept(config_document document)
{
    m_implementation->accept(std::move(document));
}

void config_relay::store_reached()
{
    m_implementation->on_store_reached();
}

void config_relay::on_message(std::string_view from, std::string_view payload)
{
    m_implementation->receive(from, payload);
}

} // namespace mulberry
