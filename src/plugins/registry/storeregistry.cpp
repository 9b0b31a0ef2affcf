#include "plugins/registry/storeregistry.h"

#include "libs/base/asyncerror.h"
#include "libs/base/log.h"
#include "libs/store/revision.h"
#include "plugins/registry/registryentry.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "registry";
/// Interval at which nodes with expired entries are removed.
constexpr duration absence_check_period = std::chrono::milliseconds(500);
/// Delay before a failed publication, lease request or lease renewal is repeated. It doubles with each failure up to
/// the maximum, which leaves time to publish the entry within two seconds of the store's return.
constexpr duration initial_retry_delay = std::chrono::milliseconds(300);
constexpr duration max_retry_delay = std::chrono::milliseconds(1000);
/// Time for which a removed node is remembered, so that an outdated copy of its entry is recognised.
constexpr duration dead_node_retention = std::chrono::minutes(10);
constexpr std::string_view members_prefix = "members/";
constexpr std::string_view secret_key = "secret";

/// Whether an entry that the store has after it was restored is older than a known one.
bool is_older(const member& entry, const member& known)
{
    if (entry.id.incarnation != known.id.incarnation)
        return entry.id.incarnation < known.id.incarnation;
    return entry.sequence < known.sequence;
}

} // namespace

store_registry::store_registry(registry_settings settings, member self, timer_service& timers, random_source& random,
                               random_source& secure_random, key_value_store& store)
    : m_settings(std::move(settings)), m_self(std::move(self)), m_timers(timers), m_secure_random(secure_random),
      m_store(store), m_follower(timers, random, store, m_settings.prefix, *this),
      m_lease_retry(timers, initial_retry_delay, max_retry_delay, [this] { renew_lease(); }),
      m_publish_retry(timers, initial_retry_delay, max_retry_delay, [this] { publish(); })
{
}

store_registry::~store_registry() = default;

void store_registry::start()
{
    m_follower.start();
    m_renewal_timer = std::make_unique<periodic_timer>(m_timers, m_settings.lease / 3, [this] { renew_lease(); });
    m_absence_timer =
        std::make_unique<periodic_timer>(m_timers, absence_check_period, [this] { remove_absent_nodes(); });
    request_lease();
}

void store_registry::set_own_record(const member& state)
{
    member next = m_self;
    next.service = state.service;
    next.state = state.state;
    next.instance = state.instance;
    next.slots = state.slots;
    next.instance_started_ms = state.instance_started_ms;
    next.upstream_leaving = state.upstream_leaving;
    if (next == m_self)
        return;
    ++next.sequence;
    m_self = std::move(next);
    m_nodes[m_self.id.name] = {m_self, m_own_revision, std::nullopt};
    rebuild_members();
    notify(m_self);
    publish();
}

void store_registry::leave()
{
    member dead = m_self;
    dead.state = member_state::dead;
    set_own_record(dead);
    m_has_left = true;
}

std::span<const member> store_registry::members_of(std::string_view service) const
{
    const auto first = std::ranges::lower_bound(m_members, service, {}, &member::service);
    const auto last = std::ranges::upper_bound(m_members, service, {}, &member::service);
    return {first, last};
}

const member* store_registry::find(std::string_view name) const
{
    const auto it = m_nodes.find(name);
    return it == m_nodes.end() || it->second.node.state == member_state::dead ? nullptr : &it->second.node;
}

void store_registry::add_listener(member_listener& listener)
{
    m_listeners.push_back(&listener);
}

void store_registry::remove_listener(member_listener& listener)
{
    std::erase(m_listeners, &listener);
}

void store_registry::on_snapshot(std::span<const store_entry> entries, std::int64_t revision)
{
    if (generation_of(revision) > generation_of(m_snapshot_revision) && m_has_joined)
        on_store_restored(revision);
    m_snapshot_revision = std::max(m_snapshot_revision, revision);
    bool has_secret = false;
    std::set<std::string, std::less<>> present;
    for (const store_entry& entry : entries) {
        apply(entry);
        const std::string_view name = std::string_view(entry.key).substr(m_settings.prefix.size());
        has_secret |= name == secret_key;
        if (name.starts_with(members_prefix))
            present.emplace(name.substr(members_prefix.size()));
    }
    for (const auto& [name, known] : m_nodes) {
        if (!present.contains(name))
            mark_absent(name, revision);
    }
    m_has_joined = true;
    if (!has_secret)
        create_secret();
    rebuild_members();
    notify(m_self);
}

void store_registry::on_changes(std::span<const watch_event> events)
{
    for (const watch_event& event : events) {
        if (!event.deleted) {
            apply(event.entry);
            continue;
        }
        const std::string_view name = std::string_view(event.entry.key).substr(m_settings.prefix.size());
        if (name.starts_with(members_prefix))
            mark_absent(name.substr(members_prefix.size()), event.entry.mod_revision);
    }
    rebuild_members();
    notify(m_self);
}

void store_registry::on_store_restored(std::int64_t revision)
{
    log_warning(log_part, "The store has been restored; its revision is {}.", format_revision(revision));
    m_own_revision = 0;
    m_lease = 0;
    request_lease();
}

void store_registry::apply(const store_entry& entry)
{
    const std::string_view name = std::string_view(entry.key).substr(m_settings.prefix.size());
    if (name == secret_key)
        return set_secret(entry.value);
    if (!name.starts_with(members_prefix))
        return;
    const std::string_view node_name = name.substr(members_prefix.size());
    auto decoded = decode_registry_entry(node_name, entry.value);
    if (!decoded)
        log_warning(log_part, "The entry {} is invalid and is ignored.", entry.key);
    if (node_name == m_self.id.name)
        return apply_own(entry, decoded);
    if (!decoded)
        return;
    const auto known = m_nodes.find(node_name);
    if (known != m_nodes.end() && known->second.revision > entry.mod_revision)
        return;
    // The restored copy may have an older entry than the one that was received before the loss. The node itself writes
    // its entry again.
    const bool is_first_after_restore =
        known != m_nodes.end() && generation_of(known->second.revision) < generation_of(entry.mod_revision);
    if (is_first_after_restore && is_older(*decoded, known->second.node)) {
        known->second.revision = entry.mod_revision;
        return;
    }
    if (known == m_nodes.end() || known->second.node != *decoded) {
        log_info(log_part, "Node {} of {} is {} (incarnation {}, revision {}).", node_name, decoded->service,
                 to_string(decoded->state), decoded->id.incarnation, format_revision(entry.mod_revision));
    }
    m_nodes[std::string(node_name)] = {std::move(*decoded), entry.mod_revision, std::nullopt};
}

void store_registry::apply_own(const store_entry& entry, const std::optional<member>& decoded)
{
    if (entry.mod_revision < m_own_revision)
        return;
    m_own_revision = entry.mod_revision;
    if (decoded && decoded->id.incarnation != m_self.id.incarnation && m_on_earlier_run)
        std::exchange(m_on_earlier_run, nullptr)(*decoded);
    if (entry.value != encode_registry_entry(m_self))
        publish();
}

void store_registry::mark_absent(std::string_view name, std::int64_t revision)
{
    if (name == m_self.id.name) {
        if (revision < m_own_revision)
            return;
        m_own_revision = 0;
        publish();
        return;
    }
    const auto it = m_nodes.find(name);
    if (it == m_nodes.end() || it->second.revision > revision || it->second.absent_since)
        return;
    it->second.revision = revision;
    it->second.absent_since = m_timers.now();
}

void store_registry::remove_absent_nodes()
{
    if (!m_has_left && (m_own_revision == 0 || m_lease == 0))
        publish();
    forget_dead_nodes();
    // Without a watch, the entry may be back in the store without this node being notified.
    if (!m_follower.is_watching())
        return;
    std::vector<member> removed;
    for (auto& [name, known] : m_nodes) {
        const bool is_expired = known.absent_since && m_timers.now() - *known.absent_since > m_settings.absence_grace;
        if (!is_expired || known.node.state == member_state::dead)
            continue;
        log_info(log_part, "Node {} is removed: its entry has expired.", name);
        known.node.state = member_state::dead;
        removed.push_back(known.node);
    }
    if (removed.empty())
        return;
    rebuild_members();
    for (const member& node : removed)
        notify(node);
}

void store_registry::forget_dead_nodes()
{
    std::erase_if(m_nodes, [this](const auto& entry) {
        const known_node& known = entry.second;
        return known.absent_since && known.node.state == member_state::dead &&
               m_timers.now() - *known.absent_since > dead_node_retention;
    });
}

void store_registry::rebuild_members()
{
    m_members.clear();
    for (const auto& [name, known] : m_nodes) {
        if (known.node.state != member_state::dead)
            m_members.push_back(known.node);
    }
    std::ranges::stable_sort(m_members, {}, &member::service);
}

void store_registry::notify(const member& changed)
{
    for (member_listener* listener : m_listeners)
        listener->on_member_changed(changed);
}

void store_registry::create_secret()
{
    // A secret that the store has lost is written again, so that nodes that start later use the same one.
    std::string value = m_secret;
    if (value.empty())
        value = fmt::format("{:016x}{:016x}", m_secure_random.next(), m_secure_random.next());
    const std::string key = m_settings.prefix + std::string(secret_key);
    m_store.put_if(key, 0, value, 0,
                   [this, value, alive = std::weak_ptr<int>(m_alive)](const leaf::result<put_result>& result) {
                       if (alive.expired() || !result)
                           return;
                       // If another node was faster, its secret is received with this response or by the watch.
                       if (result->applied)
                           return set_secret(value);
                       if (result->current)
                           set_secret(result->current->value);
                   });
}

void store_registry::set_secret(const std::string& value)
{
    if (m_secret == value)
        return;
    m_secret = value;
    if (m_on_secret)
        m_on_secret(m_secret);
}

void store_registry::request_lease()
{
    if (m_is_requesting_lease || m_lease_retry.is_pending() || m_has_left)
        return;
    m_is_requesting_lease = true;
    m_store.grant_lease(m_settings.lease, [this, alive = std::weak_ptr<int>(m_alive)](leaf::result<lease_id> result) {
        if (alive.expired())
            return;
        m_is_requesting_lease = false;
        if (!result) {
            log_warning(log_part, "The lease was not granted: {}.",
                        to_string(error_of(std::move(result), store_error::unavailable)));
            return m_lease_retry.schedule();
        }
        m_lease_retry.reset();
        m_lease = *result;
        publish();
    });
}

void store_registry::renew_lease()
{
    if (m_lease == 0)
        return request_lease();
    if (m_is_renewing_lease || m_lease_retry.is_pending())
        return;
    m_is_renewing_lease = true;
    m_store.keep_alive(m_lease, [this, alive = std::weak_ptr<int>(m_alive)](leaf::result<void> result) {
        if (alive.expired())
            return;
        m_is_renewing_lease = false;
        if (!result)
            return on_renewal_failed(error_of(std::move(result), store_error::unavailable));
        m_lease_retry.reset();
    });
}

void store_registry::on_renewal_failed(store_error error)
{
    log_warning(log_part, "The lease was not renewed: {}.", to_string(error));
    if (error != store_error::no_such_lease)
        return m_lease_retry.schedule();
    m_lease = 0;
    request_lease();
}

void store_registry::publish()
{
    if (m_lease == 0)
        return request_lease();
    if (m_is_publishing) {
        m_publish_again = true;
        return;
    }
    if (m_publish_retry.is_pending())
        return;
    m_is_publishing = true;
    m_store.put_if(own_key(), m_own_revision, encode_registry_entry(m_self), m_lease,
                   [this, alive = std::weak_ptr<int>(m_alive)](leaf::result<put_result> result) {
                       if (!alive.expired())
                           on_published(std::move(result));
                   });
}

void store_registry::on_published(leaf::result<put_result> result)
{
    m_is_publishing = false;
    const bool again = std::exchange(m_publish_again, false);
    if (!result) {
        leaf::result<void> failure = result.error();
        if (error_of(std::move(failure), store_error::unavailable) == store_error::no_such_lease)
            m_lease = 0;
        return m_publish_retry.schedule();
    }
    if (!result->applied) {
        m_own_revision = result->current ? result->current->mod_revision : 0;
        return m_publish_retry.schedule();
    }
    m_publish_retry.reset();
    m_own_revision = std::max(m_own_revision, result->revision);
    if (again)
        publish();
}

} // namespace mulberry
