#pragma once

#include "libs/base/timerservice.h"

#include <map>
#include <memory>
#include <vector>

namespace mulberry::shares {

/// A node's own clock and event loop on the simulation's time: it starts at its own time, runs up to 1% slow, and can
/// be frozen, so that callbacks due meanwhile run late, or stopped for good.
class node_clock final : public timer_service {
public:
    /// The speed is in millionths of the simulation's.
    node_clock(timer_service& world, duration start, std::int64_t speed);

    time_point now() const override;
    timer_id schedule(duration delay, std::function<void()> callback) override;
    void cancel(timer_id id) override;

    void freeze() { m_frozen = true; }
    void thaw();
    void stop();
    bool frozen() const { return m_frozen; }

private:
    void run(timer_id id);

    timer_service& m_world;
    time_point m_world_start;
    time_point m_start;
    std::int64_t m_speed;
    bool m_frozen = false;
    bool m_stopped = false;
    timer_id m_last = 0;
    std::map<timer_id, std::function<void()>> m_callbacks;
    /// Due while frozen, in order.
    std::vector<timer_id> m_overdue;
};

} // namespace mulberry::shares
