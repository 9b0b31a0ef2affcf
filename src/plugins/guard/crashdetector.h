#pragma once

#include "libs/base/time.h"
#include "plugins/calls/requestfingerprint.h"

#include <optional>
#include <vector>

namespace mulberry::detail {

/// Recognises that the upstream has crashed: it lost the connections of all calls that it was running, and then it
/// refused a connection or announced another run. A single lost connection has other causes too.
class crash_detector {
public:
    /// A call ended because its connection was lost.
    void on_connection_lost(time_point now, request_fingerprint fingerprint);
    /// The upstream responded to a call that was forwarded at this time.
    void on_response(time_point forwarded_at);
    /// The upstream refused a connection or has announced another run. `oldest_running` is when the longest running
    /// call was forwarded; empty if none is running. Returns the calls that ended with the upstream; empty if it has
    /// not crashed. A crash is returned once.
    std::vector<request_fingerprint> on_upstream_ended(std::optional<time_point> oldest_running);
    /// Discards the lost connections, because the upstream ends as planned.
    void reset() { m_lost_calls.clear(); }

private:
    struct lost_call {
        time_point lost_at;
        request_fingerprint fingerprint = 0;
    };

    std::vector<lost_call> m_lost_calls;
};

} // namespace mulberry::detail
