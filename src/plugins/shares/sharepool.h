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

/// Is notified of changes to the pool document and provides the content of writes.
class pool_listener {
public:
    pool_listener() = default;
    pool_listener(const pool_listener&) = delete;
    pool_listener& operator=(const pool_listener&) = delete;
    virtual ~pool_listener() = default;

    /// Changes the document for the next write; returns false if no write is required. Shares that the change releases
    /// must not be used from this call on. For each call that returns true, on_write_resolved is called exactly once.
    virtual bool prepare_write(messages::pool_document& document) = 0;
    /// The write took effect, or it is certain that it never will. sent_at is the time when it was first sent.
    virtual void on_write_resolved(bool applied, time_point sent_at) = 0;
    /// The document was read, or a write was resolved.
    virtual void on_pool_changed() = 0;
    /// A refresh failed.
    virtual void on_pool_unreachable() = 0;
};

/// The store document of one group of organisations. At most one write is in progress. If the outcome of a write is
/// unknown, the document is read back; the write is repeated unchanged with the same expected revision until its
/// outcome is certain.
class share_pool {
public:
    share_pool(const share_settings& settings, std::string key, timer_service& timers, random_source& random,
               key_value_store& store, pool_listener& listener);
    share_pool(const share_pool&) = delete;
    share_pool& operator=(const share_pool&) = delete;
    ~share_pool();

    /// Reads the document once.
    void refresh();
    /// Requests a change from the listener and writes it; tries again after a conflict.
    void write();
    /// Starts or stops watching the document.
    void set_watching(bool is_watching);

    bool is_loaded() const { return m_loaded; }
    const messages::pool_document& document() const { return m_document; }
    /// The section of a domain, or null.
    const messages::pool_domain* domain(std::string_view name) const;
    /// Whether this node has seen a domain's section unchanged for the length of the lease plus its drift allowance.
    bool is_lease_expired(std::string_view domain_name) const;
    /// Time when this node first saw the domain's section in its present form.
    time_point unchanged_since(std::string_view domain_name) const;
    std::uint64_t store_calls() const { return m_store_calls; }

private:
    struct pending_write {
        messages::pool_document document;
        std::string payload;
        std::string tag;
        std::int64_t expected_revision = 0;
        time_point sent_at{};
        /// An attempt had an unknown outcome, so only the document shows whether the write took effect.
        bool outcome_unknown = false;
    };

    struct observation {
        std::string tag;
        time_point first_seen{};
    };

    void send_pending();
    void on_put(leaf::result<put_result> result);
    void on_put_error(store_error error);
    void read_back();
    void on_read_back(leaf::result<range_result> result);
    void resolve_by_document();
    void resolve(bool applied);
    void schedule_write(duration delay);
    void retry(void (share_pool::*step)());
    bool apply_store_entry(const std::optional<store_entry>& entry);
    void apply_document(messages::pool_document document, std::int64_t revision);
    bool sums_are_valid(const messages::pool_document& document) const;
    void open_watch();
    void on_watch(leaf::result<std::vector<watch_event>> events);
    duration with_jitter(duration base);

    const share_settings& m_settings;
    std::string m_key;
    timer_service& m_timers;
    random_source& m_random;
    key_value_store& m_store;
    pool_listener& m_listener;
    /// Callbacks of the store and of timers have a weak reference and do nothing once the pool is destroyed.
    std::shared_ptr<share_pool*> m_self;
    messages::pool_document m_document;
    std::int64_t m_revision = 0;
    bool m_loaded = false;
    bool m_refreshing = false;
    bool m_write_requested = false;
    bool m_write_scheduled = false;
    std::map<std::string, observation, std::less<>> m_observations;
    std::optional<pending_write> m_pending;
    std::uint64_t m_write_count = 0;
    std::uint64_t m_store_calls = 0;
    duration m_backoff;
    bool m_watching = false;
    watch_id m_watch = 0;
};

} // namespace mulberry::shares
