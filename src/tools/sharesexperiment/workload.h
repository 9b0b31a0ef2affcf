#pragma once

#include "tools/sharesexperiment/sharecluster.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mulberry::shares {

enum class demand_shape { uniform, skewed, one_over_rate };
enum class fault_scenario { none, domain_isolated, store_down };

std::string_view to_string(demand_shape shape);
std::string_view to_string(fault_scenario scenario);

/// One of the deployments of docs/design.md, section 1.3.
struct deployment {
    std::string name;
    std::vector<std::string> domains;
    std::size_t nodes = 0;
    std::vector<cluster_organisation> organisations;
};

const std::vector<deployment>& deployments();

struct refusal_run {
    deployment site;
    demand_shape shape = demand_shape::uniform;
    fault_scenario scenario = fault_scenario::none;
    std::uint64_t seed = 1;
    /// Offered load as a fraction of the rate.
    double load = 0.8;
};

/// Requests of organisations within their rate that an exact counter admits, and how many of those were refused.
struct refusal_counts {
    std::uint64_t admissible = 0;
    std::uint64_t refused_by_shares = 0;
    std::uint64_t refused_by_split = 0;
    /// Fraction refused of the organisation with the largest such fraction.
    double worst_organisation = 0;
    /// Requests admitted of the organisation above its rate, as a fraction of those that an exact counter admits; 1 if
    /// there is no such organisation.
    double over_rate_admitted = 1;
    std::uint64_t excess = 0;
};

refusal_counts run_refusals(const refusal_run& run);

struct cost_run {
    std::size_t nodes = 16;
    std::size_t domains = 4;
    std::size_t organisations = 8;
    /// Number of pool documents; each has its own coordinator in every domain.
    std::uint32_t groups = 1;
    /// Requests per second and node.
    double load = 14;
    duration length = std::chrono::seconds(60);
    std::uint64_t seed = 1;
};

/// Costs per second of steady load.
struct cost_counts {
    double store_calls = 0;
    double bytes_per_node = 0;
    double bytes_of_busiest = 0;
    /// Fraction of a processor core per node, including the simulation.
    double core_per_node = 0;
    /// Fraction of the requests that was refused, all of them within the rate.
    double refused = 0;
};

cost_counts run_costs(const cost_run& run);

} // namespace mulberry::shares
