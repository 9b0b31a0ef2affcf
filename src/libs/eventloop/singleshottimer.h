#pragma once

#include "libs/base/time.h"

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

namespace mulberry {

/// Calls a function once after a delay. Unlike with a plain steady_timer, a callback never runs after cancel() or a
/// later start(), even if it has expired before and is already queued. A process that was suspended finds expired
/// timers beside completed transfers, so a queued callback of an earlier phase is common then.
class single_shot_timer {
public:
    explicit single_shot_timer(const boost::asio::any_io_executor& executor);
    single_shot_timer(const single_shot_timer&) = delete;
    single_shot_timer& operator=(const single_shot_timer&) = delete;
    /// Cancels the pending callback.
    ~single_shot_timer();

    /// Replaces the pending callback. A negative delay is treated as zero. The callback is released when it has run or
    /// has been cancelled; the release happens on the event loop.
    void start(duration delay, std::function<void()> callback);
    void cancel();

private:
    boost::asio::steady_timer m_timer;
    /// Number of the current start; shared with the queued handlers, which may outlive the timer.
    std::shared_ptr<std::uint64_t> m_generation = std::make_shared<std::uint64_t>(0);
};

} // namespace mulberry
