#include "tools/sharesexperiment/workload.h"

#include "libs/base/log.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <exception>
#include <functional>

namespace mulberry::shares {

namespace {

namespace options = boost::program_options;

constexpr int exit_usage = 2;
/// Targets of docs/design.md.
constexpr double target_without_faults = 0.001;
constexpr double target_with_faults = 0.01;
constexpr double target_bytes = 9000;
constexpr double target_core = 0.017;

struct seed_range {
    std::uint64_t first = 1;
    std::uint64_t last = 5;
};

seed_range parse_seeds(const std::string& text)
{
    const std::size_t dots = text.find("..");
    seed_range result;
    result.first = std::stoull(text);
    result.last = dots == std::string::npos ? result.first : std::stoull(text.substr(dots + 2));
    return result;
}

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

double worst(const std::vector<double>& values)
{
    return *std::ranges::max_element(values);
}

std::string verdict(double value, double target)
{
    return value <= target ? "met" : "MISS";
}

std::string percent(double part)
{
    return fmt::format("{:.3f}%", part * 100);
}

double fraction_of(std::uint64_t count, std::uint64_t total)
{
    return total == 0 ? 0 : static_cast<double>(count) / static_cast<double>(total);
}

void print_refusal_row(const refusal_run& setting, const seed_range& seeds)
{
    std::vector<double> shares;
    std::vector<double> split;
    std::vector<double> organisation;
    std::vector<double> over_rate;
    std::uint64_t excess = 0;
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
        refusal_run run = setting;
        run.seed = seed;
        const refusal_counts counts = run_refusals(run);
        shares.push_back(fraction_of(counts.refused_by_shares, counts.admissible));
        split.push_back(fraction_of(counts.refused_by_split, counts.admissible));
        organisation.push_back(counts.worst_organisation);
        over_rate.push_back(counts.over_rate_admitted);
        excess += counts.excess;
    }
    const double target = setting.scenario == fault_scenario::none ? target_without_faults : target_with_faults;
    fmt::print("| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |\n", setting.site.name,
               to_string(setting.shape), to_string(setting.scenario), percent(median(shares)), percent(worst(shares)),
               percent(worst(organisation)), percent(median(split)), percent(0), percent(median(over_rate)), excess,
               verdict(worst(shares), target));
    std::fflush(stdout);
}

void print_refusals(const seed_range& seeds, double load)
{
    fmt::print("## Wrongful refusals, seeds {}..{}, load {:.0f}% of the rate\n\n", seeds.first, seeds.last, load * 100);
    fmt::print(
        "| deployment | demand | fault | shares, median | shares, worst | worst organisation | static split, median "
        "| oracle | 5x organisation gets | admitted above the bound | target |\n");
    fmt::print("|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const deployment& site : deployments()) {
        for (const demand_shape shape : {demand_shape::uniform, demand_shape::skewed, demand_shape::one_over_rate}) {
            for (const fault_scenario scenario :
                 {fault_scenario::none, fault_scenario::domain_isolated, fault_scenario::store_down})
                print_refusal_row({site, shape, scenario, 0, load}, seeds);
        }
    }
}

double slope(double first, double last, double nodes_first, double nodes_last)
{
    return std::log(last / first) / std::log(nodes_last / nodes_first);
}

void print_costs(const seed_range& seeds)
{
    constexpr std::array runs{cost_run{16, 4, 8, 1}, cost_run{100, 4, 16, 4}, cost_run{400, 7, 32, 16},
                              cost_run{1400, 7, 64, 32}};
    fmt::print("\n## Costs, seeds {}..{}, 14 requests per second and node\n\n", seeds.first, seeds.last);
    fmt::print(
        "| nodes | organisations | groups | store calls/s | bytes/s per node, median | worst | busiest node, worst | "
        "core per node, "
        "median | worst | refused, worst | bytes | core |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    std::vector<cost_counts> medians;
    for (const cost_run& setting : runs) {
        std::vector<double> calls;
        std::vector<double> bytes;
        std::vector<double> busiest;
        std::vector<double> core;
        std::vector<double> refused;
        for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
            cost_run run = setting;
            run.seed = seed;
            const cost_counts counts = run_costs(run);
            calls.push_back(counts.store_calls);
            bytes.push_back(counts.bytes_per_node);
            busiest.push_back(counts.bytes_of_busiest);
            core.push_back(counts.core_per_node);
            refused.push_back(counts.refused);
        }
        fmt::print("| {} | {} | {} | {:.2f} | {:.0f} | {:.0f} | {:.0f} | {} | {} | {} | {} | {} |\n", setting.nodes,
                   setting.organisations, setting.groups, median(calls), median(bytes), worst(bytes), worst(busiest),
                   percent(median(core)), percent(worst(core)), percent(worst(refused)),
                   verdict(worst(busiest), target_bytes), verdict(worst(core), target_core));
        std::fflush(stdout);
        medians.push_back({median(calls), median(bytes), median(busiest), median(core), 0});
    }
    const auto first_nodes = static_cast<double>(runs.front().nodes);
    const auto last_nodes = static_cast<double>(runs.back().nodes);
    const cost_counts& first = medians.front();
    const cost_counts& last = medians.back();
    fmt::print("\nGrowth per node with the number of nodes n, as the exponent of n: store calls {:.2f}, bytes {:.2f}, "
               "processor time {:.2f}. The processor time includes the simulation.\n",
               slope(first.store_calls / first_nodes, last.store_calls / last_nodes, first_nodes, last_nodes),
               slope(first.bytes_per_node, last.bytes_per_node, first_nodes, last_nodes),
               slope(first.core_per_node, last.core_per_node, first_nodes, last_nodes));
}

int run(int argc, char** argv)
{
    options::options_description description("Measures the shares plugin in virtual time and prints Markdown");
    description.add_options()("help", "print this text")("seeds", options::value<std::string>()->default_value("1..5"),
                                                         "range of seeds, A..B")(
        "load", options::value<double>()->default_value(0.8), "offered load as a fraction of the rate")(
        "part", options::value<std::string>()->default_value("all"), "refusals, costs or all");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.contains("help")) {
        std::ostringstream text;
        text << description;
        fmt::print("{}", text.str());
        return 0;
    }
    set_log_level(log_level::error);
    const seed_range seeds = parse_seeds(values["seeds"].as<std::string>());
    const std::string part = values["part"].as<std::string>();
    if (part != "costs")
        print_refusals(seeds, values["load"].as<double>());
    if (part != "refusals")
        print_costs(seeds);
    return 0;
}

} // namespace

} // namespace mulberry::shares

int main(int argc, char** argv)
{
    try {
        return mulberry::shares::run(argc, argv);
    }
    catch (const std::exception& error) {
        fmt::print(stderr, "sharesexperiment: {}\n", error.what());
        return mulberry::shares::exit_usage;
    }
}
