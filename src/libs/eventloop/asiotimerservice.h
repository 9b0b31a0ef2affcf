#pragma once

#include "libs/base/timerservice.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace mulberry {

class event_loop;

/// Timer service on the event loop's thread with the system's monotonic clock. Callbacks due at the same time run in
/// the order in which they were scheduled. Callbacks that are pending at destruction never run.
class asio_timer_service final : public timer_service {
public:
    explicit asio_timer_service(event_loop& loop);

    time_point now() const override;
    timer_id schedule(duration delay, std::function<void()> callback) override;
    void cancel(timer_id id) override;

private:
    using key = std::pair<time_point, timer_id>;

    void arm();
    void run_due();

    boost::asio::steady_timer m_timer;
    timer_id m_last_id = 0;
    bool m_running_due = false;
    std::map<key, std::function<void()>> m_queue;
    std::unordered_map<timer_id, time_point> m_due;
    // Expires with this object, for handlers that the loop still holds.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace mulberry
