#pragma once

#include "libs/base/timerservice.h"

namespace mulberry {

/// Repeats a failed operation after a delay, which doubles with each failure up to a maximum. At most one repetition is
/// pending.
class retry_timer {
public:
    /// `callback` starts the operation again.
    retry_timer(timer_service& timers, duration initial_delay, duration max_delay, std::function<void()> callback);
    retry_timer(const retry_timer&) = delete;
    retry_timer& operator=(const retry_timer&) = delete;
    ~retry_timer();

    /// Schedules a repetition unless one is pending.
    void schedule();
    /// The operation has succeeded: the next failure is followed by the initial delay.
    void reset() { m_delay = m_initial_delay; }
    bool is_pending() const { return m_pending != 0; }

private:
    timer_service& m_timers;
    duration m_initial_delay;
    duration m_max_delay;
    duration m_delay;
    std::function<void()> m_callback;
    timer_id m_pending = 0;
};

} // namespace mulberry
