#pragma once

namespace mulberry {

/// Takes SIGINT and SIGTERM for wait(). Made before the first thread, so that every thread blocks them.
class stop_signals {
public:
    stop_signals();

    /// Returns when one of the signals comes.
    void wait();
};

} // namespace mulberry
