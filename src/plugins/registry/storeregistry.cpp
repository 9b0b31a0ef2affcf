#include "plugins/registry/storeregistry.h"

#include "libs/base/asyncerror.h"
#include "libs/base/log.h"
#include "plugins/registry/registryentry.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "registry";
constexpr duration sweep_period = std::chrono::milliseconds(500);
// While the own entry is not in the store, the node tries to publish it this often.
constexpr duration publish_pause = std::chrono::milliseconds(300);
constexpr std::string_view members_folder = "members/";
constexpr std::string_view secret_name = "secret";

} // namespace

store_registry::store_registry(registry_settings settings, member self, timer_service& timers, random_source& random,
                               random_source& secure_random, key_value_store& store)
    : m_settings(std::move(settings)), m_self(std::move(self)), m_timers(timers), m_secure_random(secure_random),
      m_store(store), m_follower(timers, random, store, m_settings.prefix, *this)
{
}

store_registry::~store_registry() = default;

void store_registry::start()
{
    m_follower.start();
    m_renewal = std::make_unique<periodic_timer>(m_timers, m_settings.lease / 3, [this] { renew(); });
    m_sweep = std::make_unique<periodic_timer>(m_timers, sweep_period, [this] { drop_absent(); });
    grant();
}

void store_registry::set_own(const member& state)
{
    member next = m_self;
    next.service = state.service;
    next.state = state.state;
    next.instance = state.instance;
    next.slots = state.slots;
    next.instance_born_ms = state.instance_born_ms;
    if (next == m_self)
        return;
    m_self = std::move(next);
    m_nodes[m_self.id.name] = {m_self, std::nullopt};
    rebuild();
    notify(m_self);
    publish();
}

void store_registry::leave()
{
    member gone = m_self;
    gone.state = member_state::dead;
    set_own(gone);
    m_left = true;
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

void store_registry::on_snapshot(std::span<const store_entry> entries)
{
    std::set<std::string, std::less<>> present;
    for (const store_entry& entry : entries) {
        apply(entry);
        const std::string_view name = std::string_view(entry.key).substr(m_settings.prefix.size());
        if (name.starts_with(members_folder))
            present.emplace(name.substr(members_folder.size()));
    }
    for (const auto& [name, known] : m_nodes) {
        if (!present.contains(name))
            mark_absent(name);
    }
    m_joined = true;
    if (m_secret.empty())
        create_secret();
    rebuild();
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
        if (name.starts_with(members_folder))
            mark_absent(name.substr(members_folder.size()));
    }
    rebuild();
    notify(m_self);
}

void store_registry::apply(const store_entry& entry)
{
    const std::string_view name = std::string_view(entry.key).substr(m_settings.prefix.size());
    if (name == secret_name)
        return take_secret(entry.value);
    if (!name.starts_with(members_folder))
        return;
    const std::string_view node_name = name.substr(members_folder.size());
    auto decoded = decode_registry_entry(node_name, entry.value);
    if (!decoded) {
        log_warning(log_part, "The entry {} cannot be read.", entry.key);
        return;
    }
    if (node_name == m_self.id.name) {
        m_own_revision = entry.mod_revision;
        if (decoded->id.incarnation != m_self.id.incarnation && m_earlier_run)
            std::exchange(m_earlier_run, nullptr)(*decoded);
        if (*decoded != m_self)
            publish();
        return;
    }
    const auto known = m_nodes.find(node_name);
    if (known == m_nodes.end() || known->second.node != *decoded) {
        log_info(log_part, "Node {} of {} is {} (incarnation {}, revision {}).", node_name, decoded->service,
                 to_string(decoded->state), decoded->id.incarnation, entry.mod_revision);
    }
    m_nodes[std::string(node_name)] = {std::move(*decoded), std::nullopt};
}

void store_registry::mark_absent(std::string_view name)
{
    if (name == m_self.id.name) {
        m_own_revision = 0;
        publish();
        return;
    }
    const auto it = m_nodes.find(name);
    if (it != m_nodes.end() && !it->second.absent_since)
        it->second.absent_since = m_timers.now();
}

void store_registry::drop_absent()
{
    if (!m_left && (m_own_revision == 0 || m_lease == 0))
        publish();
    // Without a watch, nothing says that the entry has not come back.
    if (!m_follower.watching())
        return;
    std::vector<member> gone;
    for (const auto& [name, known] : m_nodes) {
        if (known.absent_since && m_timers.now() - *known.absent_since > m_settings.absence_grace)
            gone.push_back(known.node);
    }
    for (member& node : gone) {
        log_info(log_part, "Node {} is gone: its entry has lapsed.", node.id.name);
        m_nodes.erase(node.id.name);
        node.state = member_state::dead;
    }
    if (gone.empty())
        return;
    rebuild();
    for (const member& node : gone)
        notify(node);
}

void store_registry::rebuild()
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
    std::string value = fmt::format("{:016x}{:016x}", m_secure_random.next(), m_secure_random.next());
    const std::string key = m_settings.prefix + std::string(secret_name);
    m_store.put_if(key, 0, value, 0,
                   [this, value, alive = std::weak_ptr<int>(m_alive)](const leaf::result<put_result>& result) {
                       if (alive.expired() || !result)
                           return;
                       // Where another node was faster, the answer or the watch brings its secret.
                       if (result->applied)
                           return take_secret(value);
                       if (result->current)
                           take_secret(result->current->value);
                   });
}

void store_registry::take_secret(const std::string& value)
{
    if (m_secret == value)
        return;
    m_secret = value;
    if (m_secret_known)
        m_secret_known(m_secret);
}

void store_registry::grant()
{
    if (m_granting || m_left)
        return;
    m_granting = true;
    m_store.grant_lease(m_settings.lease, [this, alive = std::weak_ptr<int>(m_alive)](leaf::result<lease_id> result) {
        if (alive.expired())
            return;
        m_granting = false;
        if (!result) {
            log_warning(log_part, "No lease: {}.", to_string(error_of(std::move(result), store_error::unavailable)));
            m_timers.schedule(publish_pause, [this, alive] {
                if (!alive.expired() && m_lease == 0)
                    grant();
            });
            return;
        }
        m_lease = *result;
        publish();
    });
}

void store_registry::renew()
{
    if (m_lease == 0)
        return grant();
    m_store.keep_alive(m_lease, [this, alive = std::weak_ptr<int>(m_alive)](leaf::result<void> result) {
        if (alive.expired() || result)
            return;
        const store_error error = error_of(std::move(result), store_error::unavailable);
        log_warning(log_part, "The lease was not renewed: {}.", to_string(error));
        if (error == store_error::no_such_lease) {
            m_lease = 0;
            return grant();
        }
        m_timers.schedule(publish_pause, [this, alive] {
            if (!alive.expired())
                renew();
        });
    });
}

void store_registry::publish()
{
    if (m_lease == 0)
        return grant();
    if (m_publishing) {
        m_publish_again = true;
        return;
    }
    m_publishing = true;
    m_store.put_if(own_key(), m_own_revision, encode_registry_entry(m_self), m_lease,
                   [this, alive = std::weak_ptr<int>(m_alive)](leaf::result<put_result> result) {
                       if (!alive.expired())
                           on_published(std::move(result));
                   });
}

void store_registry::on_published(leaf::result<put_result> result)
{
    m_publishing = false;
    const bool again = std::exchange(m_publish_again, false);
    if (!result) {
        leaf::result<void> failed = result.error();
        if (error_of(std::move(failed), store_error::unavailable) == store_error::no_such_lease)
            m_lease = 0;
        return publish_later();
    }
    if (!result->applied) {
        m_own_revision = result->current ? result->current->mod_revision : 0;
        return publish_later();
    }
    m_own_revision = std::max(m_own_revision, result->revision);
    if (again)
        publish();
}

void store_registry::publish_later()
{
    m_timers.schedule(publish_pause, [this, alive = std::weak_ptr<int>(m_alive)] {
        if (!alive.expired() && !m_left)
            publish();
    });
}

} // namespace mulberry
