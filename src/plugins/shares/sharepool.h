#pragma once

#include "libs/base/randomsource.h"
#include "libs/base/timerservice.h"
#include "libs/store/keyvaluestore.h"
#include "plugins/shares/messages.pb.h"
#include "plugins/shares/sharesettings.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry::shares {

/// Hears of the pool document and fills in the writes.
class pool_listener {
public:
    pool_listener() = default;
    pool_listener(const pool_listener&) = delete;
    pool_listener& operator=(const pool_listener&) = delete;
    virtual ~pool_listener() = default;

    /// Changes the document for the next write; returns false if no write is wanted. What the change gives up must not
    /// be used from here on. on_write_resolved follows exactly once for each true.
    virtual bool prepare_write(messages::pool_document& document) = 0;
    /// The write took effect, or certainly never will. sent_at is when it was first sent.
    virtual void on_write_resolved(bool applied, time_point sent_at) = 0;
    /// A newer document was seen.
    virtual void on_pool_changed() = 0;
    /// A refresh failed.
    virtual void on_pool_unreachable() = 0;
};

/// The store document of one group of organisations. One write is under way at a time; a write with an unknown outcome
/// is read back, and repeated unchanged with the same expected revision until the outcome is certain.
class share_pool {
public:
    share_pool(const share_settings& settings, std::string key, timer_service& timers, random_source& random,
               key_value_store& store, pool_listener& listener);
    share_pool(const share_pool&) = delete;
    share_pool& operator=(const share_pool&) = delete;
    ~share_pool();

    /// Reads the document once.
    void refresh();
    /// Asks the listener for a change and writes it, again after a conflict.
    void write();
    /// Watches the document from now on, or stops.
    void set_watching(bool watching);

    bool known() const { return m_known; }
    const messages::pool_document& document() const { return m_document; }
    /// The entry of a domain, or null.
    const messages::pool_domain* domain(std::string_view name) const;
    /// Whether this observer has seen a domain's entry unchanged for the lease and its drift allowance.
    bool lapsed(std::string_view domain_name) const;
    /// When this observer first saw the domain's entry as it is now.
    time_point first_seen(std::string_view domain_name) const;
    std::uint64_t calls() const { return m_calls; }

private:
    struct pending_write {
        messages::pool_document document;
        std::string payload;
        std::string tag;
        std::int64_t expected = 0;
        time_point sent_at{};
        /// An attempt had an unknown outcome, so that only the document can tell.
        bool uncertain = false;
    };

    struct observation {
        std::string tag;
        time_point since{};
    };

    void send_pending();
    void on_put(leaf::result<put_result> answer);
    void on_put_error(store_error error);
    void read_back();
    void on_read_back(leaf::result<range_result> answer);
    void settle_by_document();
    void resolve(bool applied);
    void schedule_write(duration delay);
    void retry(void (share_pool::*step)());
    bool observe(const std::optional<store_entry>& entry);
    void adopt(messages::pool_document document, std::int64_t revision);
    bool sums_hold(const messages::pool_document& document) const;
    void open_watch();
    void on_watch(leaf::result<std::vector<watch_event>> events);
    duration jittered(duration base);

    const share_settings& m_settings;
    std::string m_key;
    timer_service& m_timers;
    random_source& m_random;
    key_value_store& m_store;
    pool_listener& m_listener;
    /// Callbacks of the store and of timers hold a weak reference and do nothing once the pool is gone.
    std::shared_ptr<share_pool*> m_self;
    messages::pool_document m_document;
    std::int64_t m_revision = 0;
    bool m_known = false;
    bool m_refreshing = false;
    bool m_write_wanted = false;
    bool m_write_scheduled = false;
    std::map<std::string, observation, std::less<>> m_observed;
    std::optional<pending_write> m_pending;
    std::uint64_t m_writes = 0;
    std::uint64_t m_calls = 0;
    duration m_backoff;
    bool m_watching = false;
    watch_id m_watch = 0;
};

} // namespace mulberry::shares
