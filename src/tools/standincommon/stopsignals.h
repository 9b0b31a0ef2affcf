#pragma once

namespace mulberry {

/// Blocks SIGINT and SIGTERM, so that wait() receives them. Must be constructed before the first thread is started, so
/// that every thread inherits the signal mask.
class stop_signals {
public:
    stop_signals();

    /// Returns when one of the signals is received.
    void wait();
};

} // namespace mulberry
