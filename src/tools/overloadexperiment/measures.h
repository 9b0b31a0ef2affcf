#pragma once

#include "tools/overloadexperiment/callgraph.h"

#include <array>

namespace mulberry {

/// Parameters of one simulation run: the deployment, its load, the control mode and the faults.
struct run_plan {
    deployment topology;
    control_mode mode = control_mode::overload_control;
    std::uint64_t seed = 1;
    /// Demand as a multiple of the capacity of the chain.
    double load_factor = 1;
    /// Multiplies the demand of the first small organisation.
    double flood_factor = 1;
    /// Attempts of a caller per request. Above 1, the caller retries a failure within 0.1 s and ignores Retry-After.
    unsigned caller_attempts = 1;
    /// How long the last service of the chain completes no request, from stall_start on.
    duration stall_duration{0};
    admission_settings admission;
    throttle_settings throttle;
};

inline constexpr duration warm_up_duration{3'000'000};
inline constexpr duration measurement_duration{6'000'000};
inline constexpr duration stall_start = warm_up_duration + measurement_duration;
/// How long a run continues after the stall to observe the recovery.
inline constexpr duration recovery_limit{20'000'000};

struct run_result {
    /// Requests per second served in the measurement window, divided by the capacity.
    double goodput = 0;
    /// Share of the requests issued in the measurement window that were served, by importance.
    std::array<double, all_importances.size()> served_shares{};
    /// Share of its requests that was served for the worst-served organisation, the flooding one excluded.
    double min_in_rate_share = 1;
    /// Served requests divided by the max-min fair share, for the organisation where this is lowest.
    double min_fair_share = 1;
    /// Share of the processing time of all upstreams that was spent on requests that failed.
    double wasted_share = 0;
    /// Seconds from the end of the stall until the start of the first second with 95% of the earlier goodput; negative
    /// if there is none.
    double recovery_s = 0;
};

run_result run(const run_plan& plan);

} // namespace mulberry
