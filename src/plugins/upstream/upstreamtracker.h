#pragma once

#include "libs/base/timerservice.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace mulberry {

/// What an upstream says of itself.
struct upstream_report {
    std::string instance;
    std::string service;
    std::uint32_t slots = 0;
    bool leaving = false;
    /// Grows with each report of one run.
    std::uint64_t sequence = 0;
    /// Start of the run in milliseconds since the Unix epoch, by the upstream's clock; orders the runs.
    std::int64_t born_ms = 0;
};

/// The upstream beside this node as it is known from its reports.
struct tracked_upstream {
    upstream_report last;
    /// Set once it has said that it leaves.
    std::optional<time_point> leaving_since;
    time_point heard;
};

/// Orders the reports of the upstream beside this node. Reports may be late, doubled or from an earlier run.
class upstream_tracker {
public:
    using listener = std::function<void(const tracked_upstream&)>;

    upstream_tracker(const timer_service& timers, listener on_changed)
        : m_timers(timers), m_on_changed(std::move(on_changed))
    {
    }

    /// Takes a report. Returns false if it is older than what is known; the sender may be told that it was heard.
    bool report(upstream_report report);
    /// Takes over what an earlier run of this node knew. Any report replaces it.
    void adopt(upstream_report report);
    /// The upstream ends. An instance that is not the present one is ignored.
    void deregister(const std::string& instance, std::optional<std::int64_t> born_ms);

    const std::optional<tracked_upstream>& current() const { return m_current; }

private:
    bool is_newer(const upstream_report& report) const;

    const timer_service& m_timers;
    listener m_on_changed;
    std::optional<tracked_upstream> m_current;
};

} // namespace mulberry
