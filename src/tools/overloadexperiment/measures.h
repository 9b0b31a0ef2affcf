#pragma once

#include "tools/overloadexperiment/callgraph.h"

#include <array>

namespace mulberry {

/// One run: demand on a deployment, what decides, and the faults.
struct run_plan {
    deployment plan;
    control_mode mode = control_mode::slices;
    std::uint64_t seed = 1;
    /// Demand in parts of the capacity of the chain.
    double load = 1;
    /// Factor on the demand of the first small organisation.
    double flood = 1;
    /// Attempts of a caller per request; above 1 it repeats failures within 0.1 s and ignores Retry-After.
    unsigned caller_attempts = 1;
    /// How long the deepest service makes no progress, from stall_start on.
    duration stall{0};
    admission_settings admission;
    throttle_settings throttle;
};

inline constexpr duration warm_up{3'000'000};
inline constexpr duration measured{6'000'000};
inline constexpr duration stall_start = warm_up + measured;
inline constexpr duration watched_after_stall{20'000'000};

struct run_result {
    /// Requests answered in the measured time by the capacity.
    double goodput = 0;
    /// Part of the requests issued in the measured time that were answered, by importance.
    std::array<double, all_importances.size()> served{};
    /// Least part of the in-rate requests that an organisation but the flooding one was given.
    double worst_in_rate = 1;
    /// Least part of its max-min fair share that an organisation was given.
    double worst_fair_share = 1;
    /// Part of all work of upstreams that was done for requests that failed.
    double wasted = 0;
    /// Seconds from the end of the stall until a second with 95% of the earlier goodput begins; negative if never.
    double recovery_s = 0;
};

run_result run(const run_plan& plan);

} // namespace mulberry
