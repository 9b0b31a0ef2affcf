#include "plugins/storerelay/relayedstore.h"

#include "libs/base/asyncerror.h"
#include "libs/base/log.h"

#include <algorithm>
#include <utility>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "relay";
// Time limit for reading all entries from a relay. The store is read directly afterwards.
constexpr duration relay_read_timeout = std::chrono::milliseconds(1500);

} // namespace

relayed_store::relayed_store(relayed_store_settings settings, std::string own_name, node_location own_location,
                             key_value_store& direct, peer_caller& peers, const address_lookup& addresses,
                             timer_service& timers, random_source& random,
                             std::function<std::span<const member>()> members)
    : m_own_name(std::move(own_name)), m_direct(direct), m_peers(peers), m_addresses(addresses), m_timers(timers),
      m_members(std::move(members)), m_selector(settings.selector, m_own_name, std::move(own_location), timers, random)
{
    for (auto& [prefix, watch_settings] : settings.prefixes)
        m_followed.emplace(prefix, followed_prefix{watch_settings, {}, std::nullopt, nullptr, 0});
}

relayed_store::~relayed_store() = default;

void relayed_store::get(std::string_view key, std::function<void(leaf::result<range_result>)> done)
{
    m_direct.get(key, std::move(done));
}

void relayed_store::put_if(std::string_view key, std::int64_t expected_mod_revision, std::string value, lease_id lease,
                           std::function<void(leaf::result<put_result>)> done)
{
    m_direct.put_if(key, expected_mod_revision, std::move(value), lease, std::move(done));
}

void relayed_store::remove_if(std::string_view key, std::int64_t expected_mod_revision,
                              std::function<void(leaf::result<put_result>)> done)
{
    m_direct.remove_if(key, expected_mod_revision, std::move(done));
}

void relayed_store::grant_lease(duration ttl, std::function<void(leaf::result<lease_id>)> done)
{
    m_direct.grant_lease(ttl, std::move(done));
}

void relayed_store::keep_alive(lease_id lease, std::function<void(leaf::result<void>)> done)
{
    m_direct.keep_alive(lease, std::move(done));
}

void relayed_store::range(std::string_view prefix, std::function<void(leaf::result<range_result>)> done)
{
    const auto followed = m_followed.find(prefix);
    if (followed == m_followed.end())
        return m_direct.range(prefix, std::move(done));
    // The first read goes to the store: until then no other node is known.
    const auto relay = followed->second.copy.has_snapshot() ? choose_relay() : std::nullopt;
    if (!relay)
        return range_directly(followed, std::move(done));
    range_from_relay(followed, *relay, done);
}

void relayed_store::range_directly(followed_map::iterator followed, range_callback done)
{
    m_direct.range(followed->first, [this, followed, done = std::move(done), request_time = m_timers.now(),
                                     alive = std::weak_ptr<int>(m_alive)](leaf::result<range_result> result) {
        if (alive.expired())
            return;
        if (result) {
            on_snapshot(followed, request_time, *result);
            return done(std::move(result));
        }
        on_direct_read_failed();
        // Another node may have a path to the store; without one, the read is repeated after a delay.
        if (followed->second.copy.has_snapshot() && choose_relay())
            return range(followed->first, done);
        done(std::move(result));
    });
}

void relayed_store::range_from_relay(followed_map::iterator followed, const std::string& relay,
                                     const range_callback& done)
{
    const time_point request_time = m_timers.now();
    auto timer = std::make_shared<timer_id>(0);
    const peer_call_id call = poll_relay(relay, {followed->first, 0, duration{0}},
                                         [this, followed, relay, done, timer, request_time,
                                          alive = std::weak_ptr<int>(m_alive)](leaf::result<message_body> result) {
                                             if (alive.expired())
                                                 return;
                                             m_timers.cancel(*timer);
                                             auto entries = entries_of(followed->second, relay, std::move(result));
                                             if (!entries)
                                                 return range(followed->first, done);
                                             on_snapshot(followed, request_time - entries->age, *entries);
                                             done(std::move(*entries));
                                         });
    if (call == 0) {
        on_relay_failed(relay, relay_failure::unreachable);
        return range(followed->first, done);
    }
    *timer =
        m_timers.schedule(relay_read_timeout, [this, followed, relay, done, call, alive = std::weak_ptr<int>(m_alive)] {
            if (alive.expired())
                return;
            m_peers.cancel(call);
            on_relay_failed(relay, relay_failure::no_response);
            range(followed->first, done);
        });
}

std::optional<range_result> relayed_store::entries_of(const followed_prefix& followed, const std::string& relay,
                                                      leaf::result<message_body> result)
{
    auto page = result ? decode_relay_page(*result) : std::nullopt;
    if (!page || page->status != relay_status::complete || page->revision == 0) {
        on_relay_failed(relay, relay_failure::no_copy);
        return std::nullopt;
    }
    // The own copy must not be replaced by an older one: it is known to be complete up to a later time.
    if (page->revision < followed.copy.revision()) {
        on_relay_failed(relay, relay_failure::stale_copy);
        return std::nullopt;
    }
    range_result entries;
    entries.revision = page->revision;
    entries.age = page->age;
    for (watch_event& event : page->events)
        entries.entries.push_back(std::move(event.entry));
    std::ranges::sort(entries.entries, {}, &store_entry::key);
    return entries;
}

void relayed_store::on_snapshot(followed_map::iterator followed, time_point confirmed_at, const range_result& snapshot)
{
    followed->second.copy.apply_snapshot(snapshot.entries, snapshot.revision);
    followed->second.snapshot_confirmed_at =
        std::max(followed->second.snapshot_confirmed_at, std::optional(confirmed_at));
    if (m_on_copy_changed)
        m_on_copy_changed(followed->first);
}

void relayed_store::on_changes(followed_map::iterator followed, const std::vector<watch_event>& events)
{
    followed->second.copy.apply_changes(events);
    if (m_on_copy_changed)
        m_on_copy_changed(followed->first);
}

watch_id relayed_store::watch(std::string_view prefix, std::int64_t from_revision, watch_callback on_change)
{
    const watch_id id = ++m_last_watch_id;
    const auto followed = m_followed.find(prefix);
    if (followed == m_followed.end() || followed->second.watch != nullptr) {
        m_direct_watches.emplace(id, m_direct.watch(prefix, from_revision, std::move(on_change)));
        return id;
    }
    relayed_watch_owner& owner = *this;
    followed->second.id = id;
    followed->second.watch = std::make_shared<relayed_watch>(
        followed->second.settings, m_timers, owner, followed->first, from_revision,
        [this, followed, on_change = std::move(on_change)](leaf::result<std::vector<watch_event>> result) {
            const bool has_ended = !result;
            if (result)
                on_changes(followed, *result);
            // The callback may still call watch_confirmed_until() for this watch, or cancel it.
            const watch_callback callback = on_change;
            callback(std::move(result));
            if (has_ended)
                end_watch(followed);
        });
    const auto started = followed->second.watch;
    started->step();
    return id;
}

void relayed_store::end_watch(followed_map::iterator followed)
{
    followed->second.snapshot_confirmed_at = copy_confirmed_until(followed->first);
    followed->second.id = 0;
    // The watch is still running this callback, so it is destroyed only in the next turn of the event loop.
    m_timers.schedule(duration{0}, [ended_watch = std::exchange(followed->second.watch, nullptr)] {});
}

void relayed_store::cancel_watch(watch_id id)
{
    const auto direct = m_direct_watches.extract(id);
    if (!direct.empty())
        return m_direct.cancel_watch(direct.mapped());
    for (auto& [prefix, followed] : m_followed) {
        if (id != 0 && followed.id == id) {
            followed.id = 0;
            followed.watch = nullptr;
        }
    }
}

std::optional<time_point> relayed_store::watch_confirmed_until(watch_id id) const
{
    if (const auto direct = m_direct_watches.find(id); direct != m_direct_watches.end())
        return m_direct.watch_confirmed_until(direct->second);
    for (const auto& [prefix, followed] : m_followed) {
        if (id != 0 && followed.id == id && followed.watch != nullptr)
            return followed.watch->confirmed_until();
    }
    return std::nullopt;
}

const store_copy* relayed_store::copy_of(std::string_view prefix) const
{
    const auto followed = m_followed.find(prefix);
    return followed == m_followed.end() || !followed->second.copy.has_snapshot() ? nullptr : &followed->second.copy;
}

bool relayed_store::copy_is_receiving(std::string_view prefix) const
{
    const auto followed = m_followed.find(prefix);
    return followed != m_followed.end() && followed->second.watch != nullptr && followed->second.watch->is_receiving();
}

std::optional<time_point> relayed_store::copy_confirmed_until(std::string_view prefix) const
{
    const auto followed = m_followed.find(prefix);
    if (followed == m_followed.end())
        return std::nullopt;
    std::optional<time_point> confirmed = followed->second.snapshot_confirmed_at;
    if (followed->second.watch != nullptr)
        confirmed = std::max(confirmed, followed->second.watch->confirmed_until());
    return confirmed;
}

void relayed_store::on_copy_changed(std::function<void(std::string_view prefix)> callback)
{
    m_on_copy_changed = std::move(callback);
}

std::optional<std::string> relayed_store::choose_relay()
{
    auto relay = m_selector.choose(m_members());
    log_source(relay.value_or(std::string()));
    return relay;
}

void relayed_store::log_source(const std::string& relay)
{
    if (relay == std::exchange(m_last_relay, relay))
        return;
    if (relay.empty())
        return log_info(log_part, "Changes are read from the store.");
    log_info(log_part, "Changes are received from relay {}.", relay);
}

void relayed_store::on_relay_failed(std::string_view relay, relay_failure failure)
{
    log_info(log_part, "Node {} is passed over as relay for a while: {}.", relay, to_string(failure));
    m_selector.on_failed(relay, failure);
}

void relayed_store::on_direct_read_failed()
{
    on_relay_failed(m_own_name, relay_failure::unreachable);
}

peer_call_id relayed_store::poll_relay(const std::string& relay, const relay_poll& poll, peer_callback done)
{
    const auto address = m_addresses.find_address(relay);
    if (!address)
        return 0;
    return m_peers.call(relay, *address, relay_path, encode(poll), std::move(done));
}

void relayed_store::cancel_poll(peer_call_id id)
{
    m_peers.cancel(id);
}

} // namespace mulberry
