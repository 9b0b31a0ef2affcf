#pragma once

#include "libs/base/randomsource.h"
#include "libs/base/timerservice.h"
#include "libs/store/keyvaluestore.h"
#include "plugins/configuration/configview.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace mulberry::detail {

/// Hears of what a store_watch finds out.
class store_watch_listener {
public:
    store_watch_listener() = default;
    store_watch_listener(const store_watch_listener&) = delete;
    store_watch_listener& operator=(const store_watch_listener&) = delete;
    virtual ~store_watch_listener() = default;

    /// The view has every change up to this time.
    virtual void on_fresh(time_point as_of) = 0;
    /// The store gave a definite answer.
    virtual void on_store_reached() = 0;
    /// A call to the store failed.
    virtual void on_store_failed() = 0;
    /// Documents changed.
    virtual void on_documents_changed() = 0;
};

/// Keeps a view up to date from the store, for a watcher. The watch covers the documents and heartbeat keys; when it
/// delivers this node's own heartbeat, it has delivered every change before that, which proves how old the view is. A
/// read could not prove it, because the order between a read and a watch is not known.
class store_watch {
public:
    /// The heartbeat key belongs to a domain and a slot in it, so that replaced nodes leave no keys behind.
    store_watch(std::string heartbeat_key, timer_service& timers, random_source& random, key_value_store& store,
                config_view& view, store_watch_listener& listener);
    store_watch(const store_watch&) = delete;
    store_watch& operator=(const store_watch&) = delete;
    ~store_watch();

    /// When the next heartbeat is expected to be seen.
    time_point next_refresh() const;

private:
    void load();
    void use_range(const range_result& result, time_point sent);
    void start_watch();
    void on_events(leaf::result<std::vector<watch_event>> events);
    void apply(const watch_event& event);
    void restart_later();
    void beat();
    void put_heartbeat(bool may_repeat);
    void on_heartbeat_answer(leaf::result<put_result> result, bool may_repeat);

    std::string m_heartbeat_key;
    timer_service& m_timers;
    random_source& m_random;
    key_value_store& m_store;
    config_view& m_view;
    store_watch_listener& m_listener;
    watch_id m_watch = 0;
    bool m_must_load = false;
    unsigned m_failures = 0;
    std::int64_t m_heartbeat_revision = 0;
    /// Values of the last heartbeats and when they were sent; with a slow store several are under way.
    std::deque<std::pair<std::string, time_point>> m_heartbeats;
    bool m_answer_awaited = false;
    time_point m_next_beat{};
    time_point m_last_seen{};
    duration m_round_trip{0};
    timer_id m_beat_timer = 0;
    timer_id m_restart_timer = 0;
    /// Ends with this object; store callbacks that come later do nothing.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace mulberry::detail
