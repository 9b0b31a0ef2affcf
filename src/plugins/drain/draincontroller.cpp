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
    m_done = std::move(done);
    m_started = m_timers.now();
    m_poll = std::make_unique<periodic_timer>(m_timers, poll_period, [this] { check(); });
    for (drain_participant* participant : m_participants)
        participant->begin_drain();
}

void drain_controller::check()
{
    const duration elapsed = m_timers.now() - m_started;
    if (elapsed >= m_settings.limit)
        return expedite();
    const bool idle =
        std::ranges::all_of(m_participants, [](const drain_participant* part) { return part->is_idle(); });
    if (idle && elapsed >= m_settings.settle_time)
        complete(0);
}

void drain_controller::expedite()
{
    if (m_poll == nullptr)
        return;
    std::size_t requests = 0;
    for (drain_participant* participant : m_participants)
        requests += participant->cut();
    if (requests > 0)
        log_warning("drain", "{} requests were cut at the drain limit.", requests);
    complete(requests);
}

void drain_controller::complete(std::size_t cut)
{
    const bool idle =
        std::ranges::all_of(m_participants, [](const drain_participant* part) { return part->is_idle(); });
    invariant_monitor::instance().check(idle || cut > 0, invariant::planned_stop_cuts_nothing,
                                        "a planned stop ended with work in progress");
    m_complete = true;
    m_timers.schedule(duration{0}, [done = std::move(m_done), cut] { done(cut); });
    m_poll.reset();
}

} // namespace mulberry
