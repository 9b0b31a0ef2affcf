#include "plugins/drain/draincontroller.h"

#include "libs/base/invariant.h"
#include "libs/base/log.h"

#include <algorithm>
#include <utility>

namespace mulberry {

namespace {

constexpr duration poll_period = std::chrono::milliseconds(50);

} // namespace

drain_controller::drain_controller(const drain_settings& settings, timer_service& timers,
                                   std::span<drain_participant* const> participants)
    : m_settings(settings), m_timers(timers), m_participants(participants.begin(), participants.end())
{
}

void drain_controller::start(std::function<void(std::size_t)> done)
{
    if (draining())
        return;
    log_info("drain", "The planned stop has begun.");
    m_on_complete = std::move(done);
    m_started_at = m_timers.now();
    m_poll_timer = std::make_unique<periodic_timer>(m_timers, poll_period, [this] { check(); });
    for (drain_participant* participant : m_participants)
        participant->begin_drain();
}

void drain_controller::check()
{
    const duration elapsed = m_timers.now() - m_started_at;
    if (elapsed >= m_settings.limit)
        return expedite();
    const bool idle = std::ranges::all_of(m_participants,
                                          [](const drain_participant* participant) { return participant->is_idle(); });
    if (idle && elapsed >= m_settings.settle_time)
        complete(0);
}

void drain_controller::expedite()
{
    if (m_poll_timer == nullptr)
        return;
    std::size_t aborted_requests = 0;
    for (drain_participant* participant : m_participants)
        aborted_requests += participant->abort_requests();
    if (aborted_requests > 0)
        log_warning("drain", "{} requests were aborted by the planned stop.", aborted_requests);
    complete(aborted_requests);
}

void drain_controller::complete(std::size_t aborted_requests)
{
    const bool idle = std::ranges::all_of(m_participants,
                                          [](const drain_participant* participant) { return participant->is_idle(); });
    invariant_monitor::instance().check(idle || aborted_requests > 0, invariant::planned_stop_cuts_nothing,
                                        "a planned stop ended with work in progress");
    m_complete = true;
    m_timers.schedule(duration{0}, [done = std::move(m_on_complete), aborted_requests] { done(aborted_requests); });
    m_poll_timer.reset();
}

} // namespace mulberry
