#pragma once

#include "tools/sharesexperiment/sharecluster.h"

#include <cstdint>
#include <string>

namespace mulberry::shares {

struct random_run_settings {
    std::uint64_t seed = 1;
    /// Duration of the phase with faults.
    duration length = std::chrono::minutes(15);
    /// Variant that must fail: the totals of every grant are doubled in transit.
    bool doubles_grants = false;
    /// Variant that must fail: node clocks run slower than the drift allowance covers.
    bool slow_clocks = false;
};

struct random_run_result {
    std::uint64_t excess = 0;
    /// The first admission above the rate bound.
    std::string first_excess;
    std::uint64_t admitted = 0;
    /// Largest fraction of a rate limit that was held by all nodes together at any time; a value above 1 means that a
    /// share is held twice.
    double max_held = 0;
    std::string max_held_at;
    double mean_held = 0;
    /// Requests of the overloaded organisation admitted after all faults ended, as a fraction of its rate.
    double recovered_fraction = 0;
};

/// Runs nodes in four domains under faults drawn from the seed. Leases are shorter than in production, so that many of
/// them expire during the run.
random_run_result run_random(const random_run_settings& settings);

} // namespace mulberry::shares
