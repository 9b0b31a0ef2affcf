#include "plugins/shares/sharepool.h"

#include "libs/base/asyncerror.h"
#include "libs/base/invariant.h"
#include "libs/base/log.h"
#include "plugins/shares/tokenbucket.h"

#include <algorithm>
#include <utility>

namespace mulberry::shares {

namespace {

constexpr duration initial_backoff = std::chrono::milliseconds(500);
constexpr duration max_backoff = std::chrono::seconds(20);
/// Writers that met a conflict retry with a jittered delay of this mean.
constexpr duration conflict_delay = std::chrono::milliseconds(20);

std::optional<store_entry> first_entry(const range_result& result)
{
    if (result.entries.empty())
        return std::nullopt;
    return result.entries.front();
}

} // namespace

share_pool::share_pool(const share_settings& settings, std::string key, timer_service& timers, random_source& random,
                       key_value_store& store, pool_listener& listener)
    : m_settings(settings), m_key(std::move(key)), m_timers(timers), m_random(random), m_store(store),
      m_listener(listener), m_self(std::make_shared<share_pool*>(this)), m_backoff(initial_backoff)
{
}

share_pool::~share_pool()
{
    if (m_watch != 0)
        m_store.cancel_watch(m_watch);
}

const messages::pool_domain* share_pool::domain(std::string_view name) const
{
    const auto found = std::ranges::find(m_document.domains(), name, &messages::pool_domain::name);
    return found == m_document.domains().end() ? nullptr : &*found;
}

time_point share_pool::unchanged_since(std::string_view domain_name) const
{
    const auto found = m_observations.find(domain_name);
    return found == m_observations.end() ? m_timers.now() : found->second.first_seen;
}

bool share_pool::is_lease_expired(std::string_view domain_name) const
{
    return m_timers.now() - unchanged_since(domain_name) >=
           m_settings.pool_lease + drift_allowance(m_settings.pool_lease);
}

duration share_pool::with_jitter(duration base)
{
    return base / 2 + duration{static_cast<std::int64_t>(m_random.uniform(static_cast<std::uint64_t>(base.count())))};
}

void share_pool::refresh()
{
    if (m_refreshing)
        return;
    m_refreshing = true;
    ++m_store_calls;
    m_store.get(m_key, [weak = std::weak_ptr(m_self)](leaf::result<range_result> result) {
        const auto self = weak.lock();
        if (!self)
            return;
        share_pool& pool = **self;
        pool.m_refreshing = false;
        if (!result || !pool.apply_store_entry(first_entry(*result)))
            return pool.m_listener.on_pool_unreachable();
        pool.m_listener.on_pool_changed();
    });
}

void share_pool::write()
{
    if (m_pending || m_write_scheduled) {
        m_write_requested = true;
        return;
    }
    m_write_requested = false;
    if (!m_loaded)
        return refresh();
    messages::pool_document next = m_document;
    if (!m_listener.prepare_write(next))
        return;
    pending_write pending;
    pending.tag = fmt::format("{}/{}", to_string(m_settings.node), ++m_write_count);
    for (messages::pool_domain& entry : *next.mutable_domains()) {
        if (entry.name() == m_settings.failure_domain)
            entry.set_tag(pending.tag);
    }
    pending.expected_revision = m_revision;
    pending.payload = next.SerializeAsString();
    pending.document = std::move(next);
    pending.sent_at = m_timers.now();
    m_pending = std::move(pending);
    if (!invariant_monitor::instance().check(sums_are_valid(m_pending->document), invariant::rate_bounded,
                                             "a pool document would divide more than the full rate limit"))
        return resolve(false);
    send_pending();
}

void share_pool::send_pending()
{
    if (!m_pending)
        return;
    ++m_store_calls;
    m_store.put_if(m_key, m_pending->expected_revision, m_pending->payload, 0,
                   [weak = std::weak_ptr(m_self)](leaf::result<put_result> result) {
                       if (const auto self = weak.lock())
                           (*self)->on_put(std::move(result));
                   });
}

void share_pool::on_put(leaf::result<put_result> result)
{
    if (!result)
        return on_put_error(error_of(std::move(result), store_error::bad_answer));
    m_backoff = initial_backoff;
    if (result->applied) {
        // The watch may already have delivered a later document.
        if (result->revision > m_revision)
            apply_document(m_pending->document, result->revision);
        return resolve(true);
    }
    if (!apply_store_entry(result->current)) {
        m_pending->outcome_unknown = true;
        return retry(&share_pool::read_back);
    }
    resolve_by_document();
}

void share_pool::on_put_error(store_error error)
{
    if (error == store_error::too_large) {
        log_error("shares", "Document {} is too large for the store: {} bytes.", m_key, m_pending->payload.size());
        return resolve(false);
    }
    if (error == store_error::unknown_outcome || error == store_error::bad_answer)
        m_pending->outcome_unknown = true;
    if (m_pending->outcome_unknown)
        return retry(&share_pool::read_back);
    schedule_write(with_jitter(m_backoff));
    m_backoff = std::min(m_backoff * 2, max_backoff);
    resolve(false);
}

void share_pool::retry(void (share_pool::*step)())
{
    m_timers.schedule(with_jitter(m_backoff), [weak = std::weak_ptr(m_self), step] {
        if (const auto self = weak.lock())
            ((*self)->*step)();
    });
    m_backoff = std::min(m_backoff * 2, max_backoff);
}

void share_pool::read_back()
{
    ++m_store_calls;
    m_store.get(m_key, [weak = std::weak_ptr(m_self)](leaf::result<range_result> result) {
        if (const auto self = weak.lock())
            (*self)->on_read_back(std::move(result));
    });
}

void share_pool::on_read_back(leaf::result<range_result> result)
{
    if (!result || !apply_store_entry(first_entry(*result)))
        return retry(&share_pool::read_back);
    resolve_by_document();
}

/// Determines the outcome of the pending write from the current document. At the expected revision the write may still
/// take effect, so it is repeated. At a later revision, the tag of this node's domain shows whether it took effect.
void share_pool::resolve_by_document()
{
    if (m_revision == m_pending->expected_revision)
        return send_pending();
    const messages::pool_domain* own = domain(m_settings.failure_domain);
    resolve(own != nullptr && own->tag() == m_pending->tag);
}

void share_pool::resolve(bool applied)
{
    const time_point sent_at = m_pending->sent_at;
    m_pending.reset();
    if (!applied || m_write_requested)
        schedule_write(with_jitter(conflict_delay));
    m_listener.on_write_resolved(applied, sent_at);
    m_listener.on_pool_changed();
}

void share_pool::schedule_write(duration delay)
{
    if (m_write_scheduled)
        return;
    m_write_scheduled = true;
    m_timers.schedule(delay, [weak = std::weak_ptr(m_self)] {
        const auto self = weak.lock();
        if (!self)
            return;
        (*self)->m_write_scheduled = false;
        (*self)->write();
    });
}

/// Applies a document read from the store; returns false if it is invalid. A document that no longer exists in the
/// store is written again from the last known content, so that its shares are not granted twice.
bool share_pool::apply_store_entry(const std::optional<store_entry>& entry)
{
    if (!entry) {
        m_loaded = true;
        m_revision = 0;
        return true;
    }
    if (entry->mod_revision == m_revision)
        return true;
    messages::pool_document document;
    if (!document.ParseFromString(entry->value) || !sums_are_valid(document)) {
        log_error("shares", "Document {} at revision {} is invalid and was ignored.", m_key, entry->mod_revision);
        return false;
    }
    if (entry->mod_revision > m_revision)
        apply_document(std::move(document), entry->mod_revision);
    return true;
}

void share_pool::apply_document(messages::pool_document document, std::int64_t revision)
{
    m_loaded = true;
    m_document = std::move(document);
    m_revision = revision;
    for (const messages::pool_domain& entry : m_document.domains()) {
        observation& seen = m_observations[entry.name()];
        if (seen.tag == entry.tag())
            continue;
        seen = {entry.tag(), m_timers.now()};
    }
}

bool share_pool::sums_are_valid(const messages::pool_document& document) const
{
    std::map<std::string_view, share_units> sums;
    for (const messages::pool_domain& domain_entry : document.domains()) {
        for (const messages::pool_entry& entry : domain_entry.entries()) {
            if (entry.parts() < 0 || entry.parts() > full_share)
                return false;
            sums[entry.organisation()] += entry.parts();
        }
    }
    return std::ranges::all_of(sums, [](const auto& sum) { return sum.second <= full_share; });
}

void share_pool::set_watching(bool is_watching)
{
    if (is_watching == m_watching)
        return;
    m_watching = is_watching;
    if (is_watching)
        return open_watch();
    if (m_watch != 0)
        m_store.cancel_watch(std::exchange(m_watch, 0));
}

void share_pool::open_watch()
{
    if (!m_watching || m_watch != 0)
        return;
    ++m_store_calls;
    m_watch = m_store.watch(m_key, m_revision + 1,
                            [weak = std::weak_ptr(m_self)](leaf::result<std::vector<watch_event>> events) {
                                if (const auto self = weak.lock())
                                    (*self)->on_watch(std::move(events));
                            });
}

void share_pool::on_watch(leaf::result<std::vector<watch_event>> events)
{
    if (!events) {
        // Renewals read the document anyway, so the watch is reopened after a long delay.
        if (m_watch != 0)
            m_store.cancel_watch(std::exchange(m_watch, 0));
        m_timers.schedule(with_jitter(max_backoff), [weak = std::weak_ptr(m_self)] {
            if (const auto self = weak.lock())
                (*self)->open_watch();
        });
        return;
    }
    for (const watch_event& event : *events) {
        if (!event.deleted && event.entry.key == m_key)
            apply_store_entry(event.entry);
    }
    m_listener.on_pool_changed();
}

} // namespace mulberry::shares
