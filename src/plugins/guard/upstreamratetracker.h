#pragma once

#include "libs/base/time.h"

#include <optional>

namespace mulberry::detail {

/// Tracks the rate limit, in requests per second, that the upstream beside this node names in its responses.
class upstream_rate_tracker {
public:
    /// Records the limit in a response received at `now` to a request forwarded at `forwarded_at`; empty if it names
    /// none. Returns whether the current limit has changed.
    bool on_response(time_point forwarded_at, time_point now, std::optional<double> limit);
    /// Records the limit that the sender of a call received at `now` knows from earlier responses. This node may have
    /// restarted since then, so it applies until a response is received here. Returns whether the current limit has
    /// changed.
    bool on_sender_limit(time_point now, std::optional<double> limit);
    /// Discards everything, because another run of the upstream has begun.
    void reset() { *this = {}; }

    std::optional<double> current() const { return m_current; }

private:
    std::optional<double> m_current;
    /// When a response last named a limit.
    time_point m_limit_named_at;
    /// Whether a response has been received.
    bool m_has_response = false;
};

} // namespace mulberry::detail
