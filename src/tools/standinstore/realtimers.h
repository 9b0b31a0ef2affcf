#pragma once

#include "libs/base/timerservice.h"

#include <map>

namespace mulberry {

/// Timers on the machine's clock that run when asked to. All calls are made under the owner's lock.
class real_timers final : public timer_service {
public:
    time_point now() const override;
    timer_id schedule(duration delay, std::function<void()> callback) override;
    void cancel(timer_id id) override;

    /// Runs every callback whose time has come.
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
