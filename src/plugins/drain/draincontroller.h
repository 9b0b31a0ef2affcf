#pragma once

#include "libs/base/periodictimer.h"

#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace mulberry {

/// Interface of the components of the daemon that participate in a planned stop.
class drain_participant {
public:
    drain_participant() = default;
    drain_participant(const drain_participant&) = delete;
    drain_participant& operator=(const drain_participant&) = delete;
    virtual ~drain_participant() = default;

    /// Stops accepting new work and announces this to the other nodes. Work in progress continues.
    virtual void begin_drain() = 0;
    /// Returns true if no work is in progress.
    virtual bool is_idle() const = 0;
    /// Aborts the requests in progress with an error response. Returns the number of aborted requests.
    virtual std::size_t abort_requests() = 0;
};

struct drain_settings {
    /// Minimum duration of the stop. Nodes that have not yet learned of it may send work, which is still accepted.
    duration settle_time{std::chrono::seconds(3)};
    /// Maximum duration of the stop. Requests still in progress after this time are aborted.
    duration limit{std::chrono::seconds(30)};
};

/// Carries out a planned stop: every participant begins to drain, and the stop is complete once the settle time has
/// passed and all participants are idle.
class drain_controller {
public:
    drain_controller(const drain_settings& settings, timer_service& timers,
                     std::span<drain_participant* const> participants);

    /// Begins the stop; later calls have no effect. The callback receives the number of aborted requests.
    void start(std::function<void(std::size_t aborted_requests)> done);

    /// Aborts the requests in progress immediately instead of at the limit.
    void expedite();

    bool draining() const { return m_poll_timer != nullptr || m_complete; }

private:
    void check();
    void complete(std::size_t aborted_requests);

    drain_settings m_settings;
    timer_service& m_timers;
    std::vector<drain_participant*> m_participants;
    std::unique_ptr<periodic_timer> m_poll_timer;
    std::function<void(std::size_t)> m_on_complete;
    time_point m_started_at;
    bool m_complete = false;
};

} // namespace mulberry
