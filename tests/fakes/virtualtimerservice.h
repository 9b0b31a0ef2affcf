#pragma once

#include "libs/base/timerservice.h"

#include <map>
#include <unordered_map>
#include <utility>

namespace mulberry {

/// A timer service with virtual time. Callbacks that are due at the same time run in the order in which they were
/// scheduled, so that test runs are reproducible.
class virtual_timer_service final : public timer_service {
public:
    time_point now() const override { return m_now; }
    timer_id schedule(duration delay, std::function<void()> callback) override;
    void cancel(timer_id id) override;

    /// Advances the time by the interval and runs the callbacks that become due, in order.
    void advance(duration interval);

    /// Runs the callbacks that are due now, including those that they schedule without delay.
    void run_due() { advance(duration{0}); }

private:
    using key = std::pair<time_point, timer_id>;

    time_point m_now{};
    timer_id m_last_id = 0;
    std::map<key, std::function<void()>> m_queue;
    std::unordered_map<timer_id, time_point> m_due_times;
};

} // namespace mulberry
