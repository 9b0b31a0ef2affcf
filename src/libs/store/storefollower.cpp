#include "libs/store/storefollower.h"

#include "libs/base/asyncerror.h"
#include "libs/base/jitter.h"
#include "libs/base/log.h"

#include <algorithm>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "follower";
// An entry that was missing has to be back within two seconds after the store becomes reachable again, so the maximum
// delay is well below that.
constexpr duration initial_retry_delay = std::chrono::milliseconds(50);
constexpr duration max_retry_delay = std::chrono::milliseconds(500);

} // namespace

store_follower::store_follower(timer_service& timers, random_source& random, key_value_store& store, std::string prefix,
                               store_follower_listener& listener)
    : m_timers(timers), m_random(random), m_store(store), m_prefix(std::move(prefix)), m_listener(listener),
      m_retry_delay(initial_retry_delay)
{
}

store_follower::~store_follower()
{
    m_timers.cancel(m_retry_timer);
    if (m_watch_id != 0)
        m_store.cancel_watch(m_watch_id);
}

void store_follower::start()
{
    read_snapshot();
}

void store_follower::read_snapshot()
{
    m_store.range(m_prefix, [this, alive = std::weak_ptr<int>(m_alive),
                             request_time = m_timers.now()](leaf::result<range_result> result) {
        if (!alive.expired())
            on_snapshot_read(request_time, std::move(result));
    });
}

void store_follower::on_snapshot_read(time_point request_time, leaf::result<range_result> result)
{
    if (!result) {
        log_warning(log_part, "Cannot read {}: {}.", m_prefix,
                    to_string(error_of(std::move(result), store_error::unavailable)));
        return schedule_retry();
    }
    m_retry_delay = initial_retry_delay;
    m_snapshot_requested_at = std::max(m_snapshot_requested_at, std::optional(request_time - result->age));
    const std::int64_t revision = result->revision;
    m_listener.on_snapshot(result->entries, revision);
    watch(revision + 1);
}

void store_follower::watch(std::int64_t from_revision)
{
    m_watch_id =
        m_store.watch(m_prefix, from_revision,
                      [this, alive = std::weak_ptr<int>(m_alive)](leaf::result<std::vector<watch_event>> result) {
                          if (alive.expired())
                              return;
                          if (result)
                              return m_listener.on_changes(*result);
                          m_watch_confirmed_until = confirmed_until();
                          m_watch_id = 0;
                          log_warning(log_part, "The watch of {} has ended with an error: {}.", m_prefix,
                                      to_string(error_of(std::move(result), store_error::unavailable)));
                          schedule_retry();
                      });
}

void store_follower::schedule_retry()
{
    const duration delay = with_jitter(m_retry_delay, m_random);
    m_retry_delay = std::min(m_retry_delay * 2, max_retry_delay);
    m_timers.cancel(m_retry_timer);
    m_retry_timer = m_timers.schedule(delay, [this] {
        m_retry_timer = 0;
        read_snapshot();
    });
}

std::optional<time_point> store_follower::confirmed_until() const
{
    std::optional<time_point> latest = std::max(m_snapshot_requested_at, m_watch_confirmed_until);
    if (m_watch_id != 0)
        latest = std::max(latest, m_store.watch_confirmed_until(m_watch_id));
    return latest;
}

} // namespace mulberry
