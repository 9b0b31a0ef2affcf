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
/// The common prefix of "documents/" and "documents-heartbeat/".
constexpr std::string_view watched_prefix = "documents";
constexpr duration heartbeat_period{std::chrono::seconds(1)};
/// A watch that has not delivered this node's heartbeat for this long is restarted.
constexpr duration watch_stall_timeout{std::chrono::seconds(4)};
/// No heartbeat is sent while the previous one has been waiting for its response for less than this time.
constexpr duration heartbeat_response_timeout{std::chrono::seconds(3)};
/// Number of sent heartbeats that are remembered until the watch delivers them.
constexpr std::size_t max_heartbeats = 4;
constexpr duration first_restart_delay{std::chrono::milliseconds(250)};
/// Limit on the doublings of the restart delay.
constexpr unsigned max_restart_doublings = 4;
/// After this number of consecutive failures of the watch, the documents are loaded again, because the store may have
/// compacted the revision at which the watch would continue.
constexpr unsigned failures_before_load = 2;

} // namespace

store_watch::store_watch(std::string heartbeat_key, timer_service& timers, random_source& random,
                         key_value_store& store, config_view& view, store_watch_listener& listener)
    : m_heartbeat_key(std::move(heartbeat_key)), m_timers(timers), m_random(random), m_store(store), m_view(view),
      m_listener(listener), m_must_load(view.complete_revision() == 0), m_next_heartbeat(timers.now()),
      m_last_heartbeat_seen(timers.now())
{
    m_restart_timer = m_timers.schedule(duration{0}, [this] {
        m_restart_timer = 0;
        m_must_load ? load() : start_watch();
    });
    const auto period = static_cast<std::uint64_t>(heartbeat_period.count());
    m_heartbeat_timer = m_timers.schedule(duration{static_cast<std::int64_t>(m_random.uniform(period))},
                                          [this] { on_heartbeat_timer(); });
}

store_watch::~store_watch()
{
    m_timers.cancel(m_heartbeat_timer);
    m_timers.cancel(m_restart_timer);
    if (m_watch != 0)
        m_store.cancel_watch(m_watch);
}

time_point store_watch::next_refresh() const
{
    return m_next_heartbeat + m_round_trip;
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
    m_listener.on_store_responded();
    std::set<std::string_view> loaded_keys;
    bool changed = false;
    for (const store_entry& entry : result.entries) {
        loaded_keys.insert(entry.key);
        changed |=
            m_view.apply({entry.key, std::string(split_writer_tag(entry.value).second), entry.mod_revision, false});
    }
    for (const config_document* document : m_view.documents()) {
        if (loaded_keys.contains(document->key) || document->revision > result.revision)
            continue;
        // The revision of the deletion is unknown. The revision of the read serves as an upper bound.
        changed |= m_view.apply({std::string(document->key), {}, result.revision, true});
    }
    m_view.set_complete(result.revision);
    m_listener.on_view_complete(sent);
    if (changed)
        m_listener.on_documents_changed();
}

void store_watch::start_watch()
{
    m_last_heartbeat_seen = m_timers.now();
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
    const auto sent_heartbeat = std::find_if(m_heartbeats.begin(), m_heartbeats.end(),
                                             [&entry](const auto& each) { return each.first == entry.value; });
    if (sent_heartbeat == m_heartbeats.end())
        return;
    m_last_heartbeat_seen = m_timers.now();
    m_round_trip = m_timers.now() - sent_heartbeat->second;
    m_listener.on_store_responded();
    m_listener.on_view_complete(sent_heartbeat->second);
}

void store_watch::restart_later()
{
    if (m_watch != 0)
        m_store.cancel_watch(std::exchange(m_watch, 0));
    ++m_failures;
    m_must_load = m_must_load || m_failures >= failures_before_load;
    if (m_restart_timer != 0)
        return;
    const duration max_delay = first_restart_delay * (1U << std::min(m_failures, max_restart_doublings));
    const auto jitter = static_cast<std::int64_t>(m_random.uniform(static_cast<std::uint64_t>(max_delay.count()) / 2));
    m_restart_timer = m_timers.schedule(max_delay / 2 + duration{jitter}, [this] {
        m_restart_timer = 0;
        m_must_load ? load() : start_watch();
    });
}

void store_watch::on_heartbeat_timer()
{
    m_next_heartbeat = m_timers.now() + heartbeat_period;
    m_heartbeat_timer = m_timers.schedule(heartbeat_period, [this] { on_heartbeat_timer(); });
    if (m_watch != 0 && m_timers.now() - m_last_heartbeat_seen > watch_stall_timeout) {
        log_info(log_part, "The store watch has stalled and is being restarted.");
        m_must_load = true;
        restart_later();
    }
    const bool response_is_pending =
        m_heartbeat_pending && m_timers.now() - m_heartbeats.back().second < heartbeat_response_timeout;
    if (!response_is_pending)
        put_heartbeat(true);
}

void store_watch::put_heartbeat(bool may_retry)
{
    const std::string value = fmt::format("{:016x}", m_random.next());
    m_heartbeats.emplace_back(value, m_timers.now());
    if (m_heartbeats.size() > max_heartbeats)
        m_heartbeats.pop_front();
    m_heartbeat_pending = true;
    m_store.put_if(m_heartbeat_key, m_heartbeat_revision, value, 0,
                   [this, may_retry, alive = std::weak_ptr(m_alive)](leaf::result<put_result> result) {
                       if (!alive.expired())
                           on_heartbeat_response(std::move(result), may_retry);
                   });
}

void store_watch::on_heartbeat_response(leaf::result<put_result> result, bool may_retry)
{
    m_heartbeat_pending = false;
    if (!result)
        return m_listener.on_store_failed();
    m_listener.on_store_responded();
    if (result->applied) {
        m_heartbeat_revision = result->revision;
        return;
    }
    // Another node used the slot before, or the response to a heartbeat was lost after its write took effect.
    m_heartbeat_revision = result->current ? result->current->mod_revision : 0;
    if (may_retry)
        put_heartbeat(false);
}

} // namespace mulberry::detail
