#include "libs/store/storefollower.h"

#include "libs/base/asyncerror.h"
#include "libs/base/jitter.h"
#include "libs/base/log.h"

#include <algorithm>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "follower";
// An absent entry has to be back within two seconds of the store's return, so the longest pause is well below that.
constexpr duration first_pause = std::chrono::milliseconds(50);
constexpr duration longest_pause = std::chrono::milliseconds(500);

} // namespace

store_follower::store_follower(timer_service& timers, random_source& random, key_value_store& store, std::string prefix,
                               store_follower_listener& listener)
    : m_timers(timers), m_random(random), m_store(store), m_prefix(std::move(prefix)), m_listener(listener),
      m_pause(first_pause)
{
}

store_follower::~store_follower()
{
    m_timers.cancel(m_retry_timer);
    if (m_watch != 0)
        m_store.cancel_watch(m_watch);
}

void store_follower::start()
{
    read();
}

void store_follower::read()
{
    m_store.range(m_prefix, [this, alive = std::weak_ptr<int>(m_alive),
                             sent = m_timers.now()](leaf::result<range_result> result) {
        if (!alive.expired())
            on_read(sent, std::move(result));
    });
}

void store_follower::on_read(time_point sent, leaf::result<range_result> result)
{
    if (!result) {
        log_warning(log_part, "Cannot read {}: {}.", m_prefix,
                    to_string(error_of(std::move(result), store_error::unavailable)));
        return retry();
    }
    m_pause = first_pause;
    m_read_at = sent;
    const std::int64_t revision = result->revision;
    m_listener.on_snapshot(result->entries);
    watch(revision + 1);
}

void store_follower::watch(std::int64_t from_revision)
{
    m_watch = m_store.watch(m_prefix, from_revision,
                            [this, alive = std::weak_ptr<int>(m_alive)](leaf::result<std::vector<watch_event>> result) {
                                if (alive.expired())
                                    return;
                                if (result)
                                    return m_listener.on_changes(*result);
                                m_watch_confirmed = confirmed();
                                m_watch = 0;
                                log_warning(log_part, "The watch of {} has ended: {}.", m_prefix,
                                            to_string(error_of(std::move(result), store_error::unavailable)));
                                retry();
                            });
}

void store_follower::retry()
{
    const duration pause = jittered(m_pause, m_random);
    m_pause = std::min(m_pause * 2, longest_pause);
    m_timers.cancel(m_retry_timer);
    m_retry_timer = m_timers.schedule(pause, [this] {
        m_retry_timer = 0;
        read();
    });
}

std::optional<time_point> store_follower::confirmed() const
{
    std::optional<time_point> latest = std::max(m_read_at, m_watch_confirmed);
    if (m_watch != 0)
        latest = std::max(latest, m_store.watch_confirmed(m_watch));
    return latest;
}

} // namespace mulberry
