#include "plugins/storerelay/relayedwatch.h"

#include "libs/base/asyncerror.h"

#include <algorithm>
#include <utility>

namespace mulberry {

namespace {

// Interval at which a relay is polled that is receiving changes.
constexpr duration receiving_poll_period = std::chrono::milliseconds(100);

} // namespace

relayed_watch::relayed_watch(const relayed_watch_settings& settings, timer_service& timers, relayed_watch_owner& owner,
                             std::string prefix, std::int64_t from_revision, watch_callback on_change)
    : m_settings(settings), m_timers(timers), m_owner(owner), m_prefix(std::move(prefix)),
      m_revision(from_revision - 1), m_on_change(std::move(on_change))
{
}

relayed_watch::~relayed_watch()
{
    m_timers.cancel(m_timer);
    if (m_poll_id != 0)
        m_owner.cancel_poll(m_poll_id);
    if (m_direct_watch != 0)
        m_owner.direct_store().cancel_watch(m_direct_watch);
}

std::optional<time_point> relayed_watch::confirmed_until() const
{
    if (m_direct_watch == 0)
        return m_confirmed_until;
    return std::max(m_confirmed_until, m_owner.direct_store().watch_confirmed_until(m_direct_watch));
}

bool relayed_watch::is_receiving() const
{
    return m_direct_watch != 0 && m_owner.direct_store().watch_is_receiving(m_direct_watch);
}

void relayed_watch::step()
{
    const auto relay = m_owner.choose_relay();
    if (!relay)
        return watch_directly();
    poll(*relay);
}

void relayed_watch::step_later(duration delay)
{
    m_timers.cancel(m_timer);
    m_timer = m_timers.schedule(delay, [this] {
        m_timer = 0;
        step();
    });
}

void relayed_watch::poll(const std::string& relay)
{
    // The first poll of a relay is answered at once, so that a relay with an old copy is recognised early.
    const duration wait = relay == m_polled_relay ? m_settings.poll_wait : duration{0};
    m_relay = relay;
    m_polled_relay = relay;
    const time_point request_time = m_timers.now();
    m_poll_id = m_owner.poll_relay(relay, {m_prefix, m_revision, wait},
                                   [weak = weak_from_this(), request_time](leaf::result<message_body> result) {
                                       if (const auto self = weak.lock())
                                           self->on_page(request_time, std::move(result));
                                   });
    if (m_poll_id == 0)
        return fail_relay(relay_failure::unreachable);
    m_timers.cancel(m_timer);
    m_timer = m_timers.schedule(wait + m_settings.response_margin, [this] {
        m_timer = 0;
        m_owner.cancel_poll(std::exchange(m_poll_id, 0));
        fail_relay(relay_failure::no_response);
    });
}

void relayed_watch::on_page(time_point request_time, leaf::result<message_body> result)
{
    m_poll_id = 0;
    m_timers.cancel(std::exchange(m_timer, 0));
    if (!result)
        return fail_relay(relay_failure::unreachable);
    const auto page = decode_relay_page(*result);
    if (!page)
        return fail_relay(relay_failure::malformed_response);
    switch (page->status) {
    case relay_status::not_followed:
        return fail_relay(relay_failure::no_copy);
    case relay_status::history_gone:
        return end();
    case relay_status::complete:
        break;
    }
    apply(request_time, *page);
}

void relayed_watch::apply(time_point request_time, const relay_page& page)
{
    m_revision = std::max(m_revision, page.revision);
    // The relay's copy was complete `age` before the response, which was sent at the earliest when the poll had been
    // held for the stated time. The transit times are unknown and are not counted.
    const time_point now = m_timers.now();
    const time_point earliest_response = request_time + std::min(page.held, now - request_time);
    const time_point relay_confirmed_until = earliest_response - page.age;
    m_confirmed_until = std::max(m_confirmed_until, std::optional(relay_confirmed_until));
    if (!report(page.events))
        return;
    if (m_settings.max_age && now - relay_confirmed_until > *m_settings.max_age) {
        if (!page.receiving)
            return fail_relay(relay_failure::stale_copy);
        // More readers of the store would share the link with the relay, and all of them would take longer.
        m_polled_relay.clear();
        return step_later(receiving_poll_period);
    }
    // An own read of the store goes on until a relay has proved to be a better source: it may be receiving a large
    // entry over a narrow link, and would have to begin again.
    stop_direct_watch();
    step_later();
}

void relayed_watch::fail_relay(relay_failure failure)
{
    m_owner.on_relay_failed(m_relay, failure);
    m_polled_relay.clear();
    step_later();
}

void relayed_watch::watch_directly()
{
    m_polled_relay.clear();
    if (m_direct_watch == 0) {
        m_direct_watch = m_owner.direct_store().watch(
            m_prefix, m_revision + 1, [weak = weak_from_this()](leaf::result<std::vector<watch_event>> result) {
                if (const auto self = weak.lock())
                    self->on_direct_changes(std::move(result));
            });
    }
    m_timers.cancel(m_timer);
    m_timer = m_timers.schedule(m_settings.direct_check_period, [this] {
        m_timer = 0;
        check_direct_watch();
    });
}

void relayed_watch::check_direct_watch()
{
    if (is_too_old() && !is_receiving())
        m_owner.on_direct_read_failed();
    step();
}

bool relayed_watch::is_too_old() const
{
    const auto confirmed = confirmed_until();
    return m_settings.max_age && (!confirmed || m_timers.now() - *confirmed > *m_settings.max_age);
}

void relayed_watch::stop_direct_watch()
{
    if (m_direct_watch == 0)
        return;
    m_confirmed_until = confirmed_until();
    m_owner.direct_store().cancel_watch(std::exchange(m_direct_watch, 0));
}

void relayed_watch::on_direct_changes(leaf::result<std::vector<watch_event>> result)
{
    if (!result) {
        m_confirmed_until = confirmed_until();
        // The store has already ended this watch.
        m_direct_watch = 0;
        return end();
    }
    for (const watch_event& event : *result)
        m_revision = std::max(m_revision, event.entry.mod_revision);
    report(*result);
}

bool relayed_watch::report(const std::vector<watch_event>& events)
{
    const auto self = shared_from_this();
    // The other source may still report when one of them has ended the watch.
    if (!events.empty() && !m_has_ended)
        m_on_change(events);
    // If the callback has cancelled the watch, `self` is its only owner.
    return self.use_count() > 1;
}

void relayed_watch::end()
{
    if (std::exchange(m_has_ended, true))
        return;
    m_timers.cancel(std::exchange(m_timer, 0));
    const auto callback = std::move(m_on_change);
    callback(captured_error<std::vector<watch_event>>(store_error::unavailable));
}

} // namespace mulberry
