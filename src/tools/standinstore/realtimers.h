#pragma once

#include "libs/base/timerservice.h"

#include <map>

namespace mulberry {

/// Timers based on the steady clock. The owner calls run_due() to run them and serialises all calls, for example with a
/// mutex.
class real_timers final : public timer_service {
public:
    time_point now() const override;
    timer_id schedule(duration delay, std::function<void()> callback) override;
    void cancel(timer_id id) override;

    /// Runs the callbacks of all timers that are due.
    void run_due();

private:
    struct entry {
        timer_id id = 0;
        std::function<void()> callback;
    };

    std::multimap<time_point, entry> m_entries;
    timer_id m_last_id = 0;
};

} // namespace mulberry
