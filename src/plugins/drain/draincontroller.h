#pragma once

#include "libs/base/periodictimer.h"

#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace mulberry {

/// A part of the daemon that takes part in a planned stop.
class drain_participant {
public:
    drain_participant() = default;
    drain_participant(const drain_participant&) = delete;
    drain_participant& operator=(const drain_participant&) = delete;
    virtual ~drain_participant() = default;

    /// Stops taking new work and tells others; work in progress goes on.
    virtual void begin_drain() = 0;
    /// True if no work is in progress.
    virtual bool is_idle() const = 0;
    /// Answers what is still in progress as an error. Returns how many requests were cut.
    virtual std::size_t cut() = 0;
};

struct drain_settings {
    /// The stop takes at least this long, so that work sent by nodes that do not know of it yet is still taken.
    duration settle_time{std::chrono::seconds(3)};
    /// After this time, what is in progress is cut.
    duration limit{std::chrono::seconds(30)};
};

/// Runs a planned stop: every part begins to drain, and the stop is complete once all are idle for good.
class drain_controller {
public:
    drain_controller(const drain_settings& settings, timer_service& timers,
                     std::span<drain_participant* const> participants);

    /// Begins the stop; later calls have no effect. The callback gets the number of requests that were cut.
    void start(std::function<void(std::size_t cut)> done);

    /// Cuts what is in progress now instead of at the limit.
    void expedite();

    bool draining() const { return m_poll != nullptr || m_complete; }

private:
    void check();
    void complete(std::size_t cut);

    drain_settings m_settings;
    timer_service& m_timers;
    std::vector<drain_participant*> m_participants;
    std::unique_ptr<periodic_timer> m_poll;
    std::function<void(std::size_t)> m_done;
    time_point m_started;
    bool m_complete = false;
};

} // namespace mulberry
