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
    /// the runs, unless that clock has been set back.
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
/// ignored. A run that seems to be earlier takes over if it goes on reporting while the current one is silent: the
/// clock of the upstream was ahead when the current run started.
class upstream_tracker {
public:
    using listener = std::function<void(const tracked_upstream&)>;

    upstream_tracker(const timer_service& timers, listener on_changed)
        : m_timers(timers), m_on_changed(std::move(on_changed))
    {
    }

    /// Processes a report. Returns false if it was ignored, unless it repeats a known leave. An ignored report must not
    /// be acknowledged if it says that the upstream is leaving.
    bool report(upstream_report report);
    /// Restores the state recorded by an earlier run of this node. Of an upstream that has reported meanwhile, only the
    /// fact that it is leaving is restored, which is final within a run.
    void restore(upstream_report report);
    /// Marks the upstream as leaving. Returns false, and does nothing, if the instance or run is not the current one.
    bool deregister(const std::string& instance, std::optional<std::int64_t> born_ms);

    const std::optional<tracked_upstream>& current() const { return m_current; }

private:
    void restore_leaving(const upstream_report& report);
    bool is_newer(const upstream_report& report) const;
    bool is_current_run(const upstream_report& report) const;
    /// Whether a run with an earlier start time is the one that is running now.
    bool takes_over(const upstream_report& report);

    /// A run with an earlier start time than the current one.
    struct earlier_run {
        upstream_report last_report;
        time_point first_report_time;
    };

    const timer_service& m_timers;
    listener m_on_changed;
    std::optional<tracked_upstream> m_current;
    std::optional<earlier_run> m_earlier_run;
};

} // namespace mulberry
