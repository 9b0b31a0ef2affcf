#include "libs/store/memorystore.h"

#include "libs/base/asyncerror.h"
#include "libs/store/revision.h"

#include <memory>
#include <utility>

namespace mulberry {

template <typename Result>
void memory_store::schedule_callback(std::function<void(leaf::result<Result>)> done, leaf::result<Result> result)
{
    auto shared = std::make_shared<leaf::result<Result>>(std::move(result));
    m_timers.schedule(duration{0}, [done = std::move(done), shared] { done(std::move(*shared)); });
}

range_result memory_store::read_range(std::string_view prefix, bool exact) const
{
    range_result result;
    result.revision = m_revision;
    for (auto it = m_values.lower_bound(prefix); it != m_values.end(); ++it) {
        const bool matches = exact ? it->first == prefix : it->first.starts_with(prefix);
        if (!matches)
            break;
        result.entries.push_back({it->first, it->second.value, it->second.mod_revision});
    }
    return result;
}

void memory_store::get(std::string_view key, std::function<void(leaf::result<range_result>)> done)
{
    schedule_callback<range_result>(std::move(done), read_range(key, true));
}

void memory_store::range(std::string_view prefix, std::function<void(leaf::result<range_result>)> done)
{
    schedule_callback<range_result>(std::move(done), read_range(prefix, false));
}

put_result memory_store::conflict_result(std::string_view key) const
{
    put_result result{false, m_revision, std::nullopt};
    const auto it = m_values.find(key);
    if (it != m_values.end())
        result.current = store_entry{it->first, it->second.value, it->second.mod_revision};
    return result;
}

void memory_store::put_if(std::string_view key, std::int64_t expected_mod_revision, std::string value, lease_id lease,
                          std::function<void(leaf::result<put_result>)> done)
{
    if (value.size() > max_value_bytes)
        return schedule_callback<put_result>(std::move(done), captured_error<put_result>(store_error::too_large));
    if (lease != 0 && !m_leases.contains(lease))
        return schedule_callback<put_result>(std::move(done), captured_error<put_result>(store_error::no_such_lease));
    const auto it = m_values.find(key);
    const std::int64_t current_revision = it == m_values.end() ? 0 : it->second.mod_revision;
    if (current_revision != expected_mod_revision)
        return schedule_callback<put_result>(std::move(done), conflict_result(key));
    ++m_revision;
    m_values.insert_or_assign(std::string(key), stored_value{value, m_revision, lease});
    record_event({{std::string(key), std::move(value), m_revision}, false});
    schedule_callback<put_result>(std::move(done), put_result{true, m_revision, std::nullopt});
}

void memory_store::remove_if(std::string_view key, std::int64_t expected_mod_revision,
                             std::function<void(leaf::result<put_result>)> done)
{
    const auto it = m_values.find(key);
    if (it == m_values.end() || it->second.mod_revision != expected_mod_revision)
        return schedule_callback<put_result>(std::move(done), conflict_result(key));
    erase_key(std::string(key));
    schedule_callback<put_result>(std::move(done), put_result{true, m_revision, std::nullopt});
}

void memory_store::erase_key(const std::string& key)
{
    ++m_revision;
    m_values.erase(key);
    record_event({{key, {}, m_revision}, true});
}

void memory_store::grant_lease(duration ttl, std::function<void(leaf::result<lease_id>)> done)
{
    const lease_id id = ++m_last_lease_id;
    m_leases[id] = {ttl, m_timers.schedule(ttl, [this, id] { expire_lease(id); })};
    schedule_callback<lease_id>(std::move(done), id);
}

void memory_store::keep_alive(lease_id lease, std::function<void(leaf::result<void>)> done)
{
    const auto it = m_leases.find(lease);
    if (it == m_leases.end())
        return schedule_callback<void>(std::move(done), captured_error<void>(store_error::no_such_lease));
    m_timers.cancel(it->second.timer);
    it->second.timer = m_timers.schedule(it->second.ttl, [this, lease] { expire_lease(lease); });
    schedule_callback<void>(std::move(done), {});
}

void memory_store::expire_lease(lease_id lease)
{
    const auto it = m_leases.find(lease);
    if (it == m_leases.end())
        return;
    m_timers.cancel(it->second.timer);
    m_leases.erase(it);
    std::vector<std::string> keys;
    for (const auto& [key, stored] : m_values) {
        if (stored.lease == lease)
            keys.push_back(key);
    }
    for (const std::string& key : keys)
        erase_key(key);
}

void memory_store::restore_copy()
{
    const std::int64_t generation = generation_of(m_revision) + 1;
    m_values = m_copy.values;
    for (auto& [key, stored] : m_values)
        stored.mod_revision = make_revision(generation, store_revision_of(stored.mod_revision));
    m_revision = make_revision(generation, store_revision_of(m_copy.revision));
    m_history.clear();
    for (const auto& [id, lease] : m_leases)
        m_timers.cancel(lease.timer);
    m_leases.clear();
    for (const auto& [id, subscriber] : std::exchange(m_subscriptions, {})) {
        m_timers.schedule(duration{0}, [on_change = subscriber.on_change] {
            on_change(captured_error<std::vector<watch_event>>(store_error::unavailable));
        });
    }
}

watch_id memory_store::watch(std::string_view prefix, std::int64_t from_revision, watch_callback on_change)
{
    const watch_id id = ++m_last_watch_id;
    m_subscriptions[id] = {std::string(prefix), from_revision, std::move(on_change)};
    std::vector<watch_event> past_events;
    for (const watch_event& event : m_history) {
        if (event.entry.mod_revision >= from_revision && event.entry.key.starts_with(prefix))
            past_events.push_back(event);
    }
    if (!past_events.empty())
        notify(id, std::move(past_events));
    return id;
}

void memory_store::cancel_watch(watch_id id)
{
    m_subscriptions.erase(id);
}

void memory_store::record_event(watch_event event)
{
    m_history.push_back(event);
    for (const auto& [id, subscriber] : m_subscriptions) {
        if (event.entry.mod_revision >= subscriber.from_revision && event.entry.key.starts_with(subscriber.prefix))
            notify(id, {event});
    }
}

void memory_store::notify(watch_id id, std::vector<watch_event> events)
{
    m_timers.schedule(duration{0}, [this, id, events = std::move(events)] {
        const auto it = m_subscriptions.find(id);
        if (it != m_subscriptions.end())
            it->second.on_change(events);
    });
}

} // namespace mulberry
