#pragma once

#include "libs/base/timerservice.h"

namespace mulberry {

/// Calls a function periodically until the object is destroyed. The first call happens one period after construction.
class periodic_timer {
public:
    periodic_timer(timer_service& timers, duration period, std::function<void()> callback);
    periodic_timer(const periodic_timer&) = delete;
    periodic_timer& operator=(const periodic_timer&) = delete;
    ~periodic_timer();

private:
    void schedule_next();

    timer_service& m_timers;
    duration m_period;
    std::function<void()> m_callback;
    timer_id m_pending = 0;
};

} // namespace mulberry
