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

/// Is notified of the events of a store_watch.
class store_watch_listener {
public:
    store_watch_listener() = default;
    store_watch_listener(const store_watch_listener&) = delete;
    store_watch_listener& operator=(const store_watch_listener&) = delete;
    virtual ~store_watch_listener() = default;

    /// The view has every change that was made up to this time.
    virtual void on_view_complete(time_point as_of) = 0;
    /// The store returned a definite response.
    virtual void on_store_responded() = 0;
    /// A call to the store failed.
    virtual void on_store_failed() = 0;
    virtual void on_documents_changed() = 0;
};

/// Keeps the view of a watcher up to date from the store. The watch covers the documents and the heartbeat keys. When
/// it delivers this node's own heartbeat, it has delivered every earlier change as well, which proves the age of the
/// view. A read cannot prove the age, because the order between a read and the watch is undefined.
class store_watch {
public:
    /// The heartbeat key is derived from the domain and a slot in it rather than from the node, so that replaced nodes
    /// leave no keys behind.
    store_watch(std::string heartbeat_key, timer_service& timers, random_source& random, key_value_store& store,
                config_view& view, store_watch_listener& listener);
    store_watch(const store_watch&) = delete;
    store_watch& operator=(const store_watch&) = delete;
    ~store_watch();

    /// When the watch is expected to deliver the next heartbeat.
    time_point next_refresh() const;

private:
    void load();
    void use_range(const range_result& result, time_point sent);
    void start_watch();
    void on_events(leaf::result<std::vector<watch_event>> events);
    void apply(const watch_event& event);
    void restart_later();
    void on_heartbeat_timer();
    void put_heartbeat(bool may_retry);
    void on_heartbeat_response(leaf::result<put_result> result, bool may_retry);

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
    /// Values of the last heartbeats and their send times. With a slow store, several are pending at the same time.
    std::deque<std::pair<std::string, time_point>> m_heartbeats;
    bool m_heartbeat_pending = false;
    time_point m_next_heartbeat{};
    time_point m_last_heartbeat_seen{};
    duration m_round_trip{0};
    timer_id m_heartbeat_timer = 0;
    timer_id m_restart_timer = 0;
    /// Expires with this object; store callbacks that arrive later are ignored.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace mulberry::detail
