#pragma once

#include "libs/base/timerservice.h"

#include <map>
#include <memory>
#include <vector>

namespace mulberry::shares {

/// A node's own clock and event loop, driven by the simulation's time. The clock has its own start time and may run
/// slower than the simulation: by up to 1%, except in tests that exceed the drift allowance. It can be paused, so that
/// callbacks due meanwhile run late, or stopped for good.
class node_clock final : public timer_service {
public:
    /// The speed is in millionths of the simulation's speed.
    node_clock(timer_service& simulation, duration start, std::int64_t speed);

    time_point now() const override;
    timer_id schedule(duration delay, std::function<void()> callback) override;
    void cancel(timer_id id) override;

    void pause() { m_paused = true; }
    void resume();
    void stop();
    bool is_paused() const { return m_paused; }

private:
    void run(timer_id id);

    timer_service& m_simulation;
    time_point m_simulation_start;
    time_point m_start;
    std::int64_t m_speed;
    bool m_paused = false;
    bool m_stopped = false;
    timer_id m_last_id = 0;
    std::map<timer_id, std::function<void()>> m_callbacks;
    /// Timers that fell due during the pause, in order.
    std::vector<timer_id> m_overdue;
};

} // namespace mulberry::shares
