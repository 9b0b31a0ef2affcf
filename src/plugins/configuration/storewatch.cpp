#include "plugins/configuration/storewatch.h"

#include "plugins/configuration/configwriter.h"

#include "libs/base/asyncerror.h"
#include "libs/base/log.h"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace mulberry::detail {

namespace {

constexpr std::string_view log_part = "configuration";
/// Covers "documents/" and "documents-heartbeat/".
constexpr std::string_view watched_prefix = "documents";
constexpr duration heartbeat_period{std::chrono::seconds(1)};
/// A watch that does not deliver the own heartbeat for this long is set up anew.
constexpr duration silent_watch_limit{std::chrono::seconds(4)};
/// A heartbeat is not repeated before the answer to the last one, or this time, has passed.
constexpr duration longest_answer{std::chrono::seconds(3)};
constexpr std::size_t max_heartbeats = 4;
constexpr duration first_restart_delay{std::chrono::milliseconds(250)};
constexpr unsigned max_restart_doublings = 4;
/// After so many failed watches the documents are read anew, because the store may have dropped old revisions.
constexpr unsigned failures_before_load = 2;

} // namespace

store_watch::store_watch(std::string heartbeat_key, timer_service& timers, random_source& random,
                         key_value_store& store, config_view& view, store_watch_listener& listener)
    : m_heartbeat_key(std::move(heartbeat_key)), m_timers(timers), m_random(random), m_store(store), m_view(view),
      m_listener(listener), m_must_load(view.complete_revision() == 0), m_next_beat(timers.now()),
      m_last_seen(timers.now())
{
    m_restart_timer = m_timers.schedule(duration{0}, [this] {
        m_restart_timer = 0;
        m_must_load ? load() : start_watch();
    });
    const auto period = static_cast<std::uint64_t>(heartbeat_period.count());
    m_beat_timer = m_timers.schedule(duration{static_cast<std::int64_t>(m_random.uniform(period))}, [this] { beat(); });
}

store_watch::~store_watch()
{
    m_timers.cancel(m_beat_timer);
    m_timers.cancel(m_restart_timer);
    if (m_watch != 0)
        m_store.cancel_watch(m_watch);
}

time_point store_watch::next_refresh() const
{
    return m_next_beat + m_round_trip;
}

void store_watch::load()
{
    m_store.range(documents_prefix,
                  [this, alive = std::weak_ptr(m_alive), sent = m_timers.now()](leaf::result<range_result> result) {
                      if (alive.expired())
                          return;
                      if (!result) {
                          m_listener.on_store_failed();
                          return restart_later();
                      }
                      use_range(*result, sent);
                      m_must_load = false;
                      start_watch();
                  });
}

void store_watch::use_range(const range_result& result, time_point sent)
{
    m_listener.on_store_reached();
    std::set<std::string_view> present;
    bool changed = false;
    for (const store_entry& entry : result.entries) {
        present.insert(entry.key);
        changed |=
            m_view.apply({entry.key, std::string(split_writer_tag(entry.value).second), entry.mod_revision, false});
    }
    for (const config_document* held : m_view.documents()) {
        if (present.contains(held->key) || held->revision > result.revision)
            continue;
        // The revision of the deletion is not known; that of the read is above it.
        changed |= m_view.apply({std::string(held->key), {}, result.revision, true});
    }
    m_view.set_complete(result.revision);
    m_listener.on_fresh(sent);
    if (changed)
        m_listener.on_documents_changed();
}

void store_watch::start_watch()
{
    m_last_seen = m_timers.now();
    m_watch = m_store.watch(watched_prefix, m_view.complete_revision() + 1,
                            [this, alive = std::weak_ptr(m_alive)](leaf::result<std::vector<watch_event>> events) {
                                if (!alive.expired())
                                    on_events(std::move(events));
                            });
}

void store_watch::on_events(leaf::result<std::vector<watch_event>> events)
{
    if (m_watch == 0)
        return;
    if (!events) {
        m_listener.on_store_failed();
        return restart_later();
    }
    m_failures = 0;
    const std::int64_t before = m_view.newest_revision();
    for (const watch_event& event : *events)
        apply(event);
    if (m_view.newest_revision() > before)
        m_listener.on_documents_changed();
}

void store_watch::apply(const watch_event& event)
{
    const store_entry& entry = event.entry;
    if (entry.key.starts_with(documents_prefix)) {
        const std::string_view content = split_writer_tag(entry.value).second;
        m_view.apply({entry.key, std::string(content), entry.mod_revision, event.deleted});
    }
    m_view.set_complete(entry.mod_revision);
    if (entry.key != m_heartbeat_key)
        return;
    const auto own = std::find_if(m_heartbeats.begin(), m_heartbeats.end(),
                                  [&entry](const auto& each) { return each.first == entry.value; });
    if (own == m_heartbeats.end())
        return;
    m_last_seen = m_timers.now();
    m_round_trip = m_timers.now() - own->second;
    m_listener.on_store_reached();
    m_listener.on_fresh(own->second);
}

void store_watch::restart_later()
{
    if (m_watch != 0)
        m_store.cancel_watch(std::exchange(m_watch, 0));
    ++m_failures;
    m_must_load = m_must_load || m_failures >= failures_before_load;
    if (m_restart_timer != 0)
        return;
    const duration longest = first_restart_delay * (1U << std::min(m_failures, max_restart_doublings));
    const auto jitter = static_cast<std::int64_t>(m_random.uniform(static_cast<std::uint64_t>(longest.count()) / 2));
    m_restart_timer = m_timers.schedule(longest / 2 + duration{jitter}, [this] {
        m_restart_timer = 0;
        m_must_load ? load() : start_watch();
    });
}

void store_watch::beat()
{
    m_next_beat = m_timers.now() + heartbeat_period;
    m_beat_timer = m_timers.schedule(heartbeat_period, [this] { beat(); });
    if (m_watch != 0 && m_timers.now() - m_last_seen > silent_watch_limit) {
        log_info(log_part, "The watch on the store delivers nothing and is set up anew.");
        m_must_load = true;
        restart_later();
    }
    const bool waits = m_answer_awaited && m_timers.now() - m_heartbeats.back().second < longest_answer;
    if (!waits)
        put_heartbeat(true);
}

void store_watch::put_heartbeat(bool may_repeat)
{
    const std::string value = fmt::format("{:016x}", m_random.next());
    m_heartbeats.emplace_back(value, m_timers.now());
    if (m_heartbeats.size() > max_heartbeats)
        m_heartbeats.pop_front();
    m_answer_awaited = true;
    m_store.put_if(m_heartbeat_key, m_heartbeat_revision, value, 0,
                   [this, may_repeat, alive = std::weak_ptr(m_alive)](leaf::result<put_result> result) {
                       if (!alive.expired())
                           on_heartbeat_answer(std::move(result), may_repeat);
                   });
}

void store_watch::on_heartbeat_answer(leaf::result<put_result> result, bool may_repeat)
{
    m_answer_awaited = false;
    if (!result)
        return m_listener.on_store_failed();
    m_listener.on_store_reached();
    if (result->applied) {
        m_heartbeat_revision = result->revision;
        return;
    }
    // Another node had the slot, or an answer was lost after the write took effect.
    m_heartbeat_revision = result->current ? result->current->mod_revision : 0;
    if (may_repeat)
        put_heartbeat(false);
}

} // namespace mulberry::detail
