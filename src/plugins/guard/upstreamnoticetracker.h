#pragma once

#include "libs/base/time.h"
#include "plugins/calls/upstreamnotice.h"

namespace mulberry::detail {

/// Tracks what the upstream beside this node states about itself in its responses.
class upstream_notice_tracker {
public:
    /// Records the notice in a response received at `now` to a request forwarded at `forwarded_at`. Returns whether the
    /// current notice has changed.
    bool on_response(time_point forwarded_at, time_point now, const upstream_notice& notice);
    /// Records what the sender of a call received at `now` knows from earlier responses. This node may have restarted
    /// since then, so it applies until a response is received here. Returns whether the current notice has changed.
    bool on_sender_notice(time_point now, const upstream_notice& notice);
    /// Discards everything, because another run of the upstream has begun.
    void reset() { *this = {}; }

    const upstream_notice& current() const { return m_current; }

private:
    upstream_notice m_current;
    /// When a response last named a limit.
    time_point m_limit_named_at;
    /// Whether a response has been received.
    bool m_has_response = false;
};

} // namespace mulberry::detail
