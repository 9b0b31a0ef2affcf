#pragma once

#include "libs/base/timerservice.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace mulberry {

/// A report of an upstream about itself.
struct upstream_report {
    std::string instance;
    std::string service;
    std::uint32_t slots = 0;
    bool leaving = false;
    /// Increases with each report of one run of the upstream.
    std::uint64_t sequence = 0;
    /// Start time of the run in milliseconds since the Unix epoch, by the upstream's clock. It determines the order of
    /// the runs.
    std::int64_t born_ms = 0;
};

/// State of the upstream beside this node according to its reports.
struct tracked_upstream {
    upstream_report last_report;
    /// Time at which the upstream announced that it is leaving; empty if it has not.
    std::optional<time_point> leaving_since;
    time_point last_report_time;
};

/// Tracks the state of the upstream beside this node. Reports that are delayed, duplicated or from an earlier run are
/// ignored.
class upstream_tracker {
public:
    using listener = std::function<void(const tracked_upstream&)>;

    upstream_tracker(const timer_service& timers, listener on_changed)
        : m_timers(timers), m_on_changed(std::move(on_changed))
    {
    }

    /// Processes a report. Returns false if it is not newer than the current state; the receipt may be acknowledged to
    /// the sender in either case.
    bool report(upstream_report report);
    /// Restores the state recorded by an earlier run of this node. Of an upstream that has reported meanwhile, only the
    /// fact that it is leaving is restored, which is final within a run.
    void restore(upstream_report report);
    /// Marks the upstream as leaving. Ignored if the instance or run is not the current one.
    void deregister(const std::string& instance, std::optional<std::int64_t> born_ms);

    const std::optional<tracked_upstream>& current() const { return m_current; }

private:
    void restore_leaving(const upstream_report& report);
    bool is_newer(const upstream_report& report) const;

    const timer_service& m_timers;
    listener m_on_changed;
    std::optional<tracked_upstream> m_current;
};

} // namespace mulberry
