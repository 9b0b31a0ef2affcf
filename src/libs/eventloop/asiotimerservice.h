#pragma once

#include "libs/base/timerservice.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace mulberry {

class event_loop;

/// Timer service that runs callbacks on the event loop's thread and reads the system's boot-time clock. Callbacks that
/// are due at the same time run in the order in which they were scheduled. Callbacks that are pending at destruction
/// never run.
class asio_timer_service final : public timer_service {
public:
    explicit asio_timer_service(event_loop& loop);

    time_point now() const override;
    timer_id schedule(duration delay, std::function<void()> callback) override;
    void cancel(timer_id id) override;

private:
    using queue_key = std::pair<time_point, timer_id>;

    void arm_timer();
    void run_due_callbacks();
    /// Runs the callbacks that are due at `limit`. The limit is fixed, so that callbacks that schedule others without
    /// delay do not starve the loop's other work.
    void run_callbacks_until(time_point limit, const std::weak_ptr<int>& alive);
    void finish_callbacks();

    boost::asio::steady_timer m_timer;
    timer_id m_last_id = 0;
    bool m_running_callbacks = false;
    std::map<queue_key, std::function<void()>> m_queue;
    std::unordered_map<timer_id, time_point> m_due_times;
    // Handlers that are still queued in the loop hold weak references to it, by which they detect that this object has
    // been destroyed.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace mulberry
