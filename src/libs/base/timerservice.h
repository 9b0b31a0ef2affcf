#pragma once

#include "libs/base/time.h"

#include <cstdint>
#include <functional>

namespace mulberry {

/// Identifies a scheduled callback. The value 0 is never issued.
using timer_id = std::uint64_t;

/// Provides the current time and delayed callbacks. The daemon implements it on its event loop, tests implement it with
/// virtual time. All calls and all callbacks happen on one thread.
class timer_service {
public:
    timer_service() = default;
    timer_service(const timer_service&) = delete;
    timer_service& operator=(const timer_service&) = delete;
    virtual ~timer_service() = default;

    /// Returns the current monotonic time, which never decreases.
    virtual time_point now() const = 0;

    /// Invokes the callback once after the delay, never from within this call. A negative delay is treated as zero.
    virtual timer_id schedule(duration delay, std::function<void()> callback) = 0;

    /// Cancels a pending callback. Has no effect if the callback has already run or the id is unknown.
    virtual void cancel(timer_id id) = 0;
};

} // namespace mulberry
