#pragma once

#include "tools/sharesexperiment/sharecluster.h"

#include <cstdint>
#include <string>

namespace mulberry::shares {

struct random_run_settings {
    std::uint64_t seed = 1;
    /// Time with faults.
    duration length = std::chrono::minutes(15);
    /// Variant that must fail: every grant arrives doubled.
    bool doubles_grants = false;
    /// Variant that must fail: node clocks run slower than the drift allowance covers.
    bool slow_clocks = false;
};

struct random_run_result {
    std::uint64_t excess = 0;
    /// The first admission above the bound.
    std::string first_excess;
    std::uint64_t admitted = 0;
    /// Largest part of a figure that was held together at a moment; above 1 shares are held twice.
    double most_held = 0;
    std::string most_held_at;
    double mean_held = 0;
    /// Admitted of the overloaded organisation's rate after all faults ended, as a part of 1.
    double recovered = 0;
};

/// Runs nodes in four domains under faults drawn from the seed. Leases are shorter than in service so that many lapse.
random_run_result run_random(const random_run_settings& settings);

} // namespace mulberry::shares
