#include "libs/base/invariant.h"
#include "libs/base/log.h"
#include "tools/overloadexperiment/measures.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

namespace {

using namespace mulberry;

namespace options = boost::program_options;

/// One row of the printed table: a metric of a run and its target from section 1.2 of docs/design.md.
struct table_row {
    std::string name;
    run_plan plan;
    double (*metric)(const run_result&);
    /// Worst permitted value of the metric.
    double bound = 0;
    /// Higher values are better: the metric must reach the bound. Otherwise it must stay below the bound.
    bool is_lower_bound = true;
    bool has_target = true;
    bool is_seconds = false;
};

struct cell {
    std::vector<double> values;
};

constexpr std::array modes{control_mode::overload_control, control_mode::fixed_limit, control_mode::no_control};

double goodput(const run_result& result)
{
    return result.goodput;
}

double served_share_normal(const run_result& result)
{
    return result.served_shares[1];
}

double served_share_important(const run_result& result)
{
    return std::min(result.served_shares[2], result.served_shares[3]);
}

double min_in_rate_share(const run_result& result)
{
    return result.min_in_rate_share;
}

double min_fair_share(const run_result& result)
{
    return result.min_fair_share;
}

double wasted_share(const run_result& result)
{
    return result.wasted_share;
}

double recovery_seconds(const run_result& result)
{
    return result.recovery_s < 0 ? to_seconds(recovery_limit) : result.recovery_s;
}

double refused_share_in_rate(const run_result& result)
{
    return 1 - result.min_in_rate_share;
}

std::vector<table_row> rows_for(const run_plan& base)
{
    std::vector<table_row> rows;
    const auto add = [&](std::string name, double load, double (*metric)(const run_result&), double bound,
                         bool is_lower_bound, bool has_target) -> table_row& {
        table_row row{std::move(name), base, metric, bound, is_lower_bound, has_target, false};
        row.plan.load_factor = load;
        rows.push_back(std::move(row));
        return rows.back();
    };
    for (const double load : {1.0, 2.0, 4.0, 8.0}) {
        add(fmt::format("goodput at {}x", load), load, goodput, 0.9, true, load == 8);
        add(fmt::format("high and critical served at {}x", load), load, served_share_important, 0.99, true, true);
        add(fmt::format("normal served at {}x", load), load, served_share_normal, 0, true, false);
    }
    add("wasted upstream time at 4x", 4, wasted_share, 0.05, false, true);
    add("least fair share of an organisation at 4x", 4, min_fair_share, 0.9, true, true);
    table_row& retrying = add("goodput at 4x, hard retries", 4, goodput, 0.9, true, false);
    retrying.plan.caller_attempts = 5;
    table_row& flood = add("in-rate served, one sends 5x its rate at 0.8x", 0.8, min_in_rate_share, 0.99, true, true);
    flood.plan.flood_factor = 5;
    table_row& flood_over =
        add("in-rate served, one sends 20x its rate at 0.8x", 0.8, min_in_rate_share, 0.99, true, true);
    flood_over.plan.flood_factor = 20;
    table_row& flood_fair = add("least fair share, one sends 5x its rate at 4x", 4, min_fair_share, 0.9, true, true);
    flood_fair.plan.flood_factor = 5;
    add("refused at 0.8x", 0.8, refused_share_in_rate, 0.001, false, true);
    table_row& stall = add("recovery after a 10 s stall at 0.8x, hard retries", 0.8, recovery_seconds, 2, false, true);
    stall.plan.stall_duration = duration{10'000'000};
    stall.plan.caller_attempts = 5;
    stall.is_seconds = true;
    return rows;
}

std::string format_value(const table_row& row, double value)
{
    return row.is_seconds ? fmt::format("{:.1f} s", value) : fmt::format("{:.2f}%", value * 100);
}

/// Median and worst value over the seeds.
std::pair<double, double> median_and_worst(const table_row& row, std::vector<double> values)
{
    std::ranges::sort(values);
    return {values[values.size() / 2], row.is_lower_bound ? values.front() : values.back()};
}

void print_table(const std::vector<table_row>& rows, const std::vector<cell>& cells, unsigned columns)
{
    fmt::print("| measure | target | overload control: median, worst | |");
    fmt::print("{}\n", columns > 1 ? " fixed limit: median, worst | no control: median, worst |" : "");
    fmt::print("|---|---|---|---|{}\n", columns > 1 ? "---|---|" : "");
    for (std::size_t row = 0; row < rows.size(); ++row) {
        const table_row& each = rows[row];
        const std::string target =
            each.has_target ? fmt::format("{} {}", each.is_lower_bound ? ">=" : "<", format_value(each, each.bound))
                            : "-";
        const double first_worst = median_and_worst(each, cells[row * columns].values).second;
        const bool met = each.is_lower_bound ? first_worst >= each.bound : first_worst < each.bound;
        fmt::print("| {} | {} |", each.name, target);
        for (unsigned column = 0; column < columns; ++column) {
            const auto [median, worst] = median_and_worst(each, cells[row * columns + column].values);
            fmt::print(" {}, {} |", format_value(each, median), format_value(each, worst));
            if (column == 0)
                fmt::print(" {} |", !each.has_target ? "" : met ? "met" : "MISS");
        }
        fmt::print("\n");
    }
}

struct job {
    std::size_t cell = 0;
    const table_row* row = nullptr;
    run_plan plan;
    double value = 0;
};

void run_all(std::vector<job>& jobs, unsigned workers)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> threads;
    for (unsigned worker = 0; worker < workers; ++worker) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < jobs.size(); index = next++)
                jobs[index].value = jobs[index].row->metric(run(jobs[index].plan));
        });
    }
}

void measure_deployment(const run_plan& base, unsigned seeds, unsigned columns, unsigned workers,
                        const std::string& filter)
{
    std::vector<table_row> rows = rows_for(base);
    std::erase_if(rows, [&](const table_row& row) { return row.name.find(filter) == std::string::npos; });
    std::vector<cell> cells(rows.size() * columns);
    std::vector<job> jobs;
    for (std::size_t row = 0; row < rows.size(); ++row) {
        for (unsigned column = 0; column < columns; ++column) {
            for (unsigned seed = 1; seed <= seeds; ++seed) {
                jobs.push_back({row * columns + column, &rows[row], rows[row].plan, 0});
                jobs.back().plan.mode = modes[column];
                jobs.back().plan.seed = seed;
            }
        }
    }
    run_all(jobs, workers);
    for (const job& each : jobs)
        cells[each.cell].values.push_back(each.value);
    fmt::print("\n{}, capacity {:.0f}/s, seeds 1 to {}\n\n", base.topology.name, base.topology.capacity(), seeds);
    print_table(rows, cells, columns);
}

} // namespace

int main(int argc, char** argv)
{
    run_plan base;
    std::string order;
    std::string filter;
    unsigned seeds = 0;
    unsigned workers = 0;
    options::options_description description("Measures the overload control in a simulation in virtual time");
    description.add_options()("help", "print this text")("seeds", options::value(&seeds)->default_value(5),
                                                         "number of runs per value, with the seeds 1, 2, ...")(
        "jobs", options::value(&workers)->default_value(3),
        "threads")("no-baselines", "measure the overload control only, without the baselines")(
        "only", options::value(&filter)->default_value(""), "measure only the rows whose name contains this text")(
        "order", options::value(&order)->default_value("oldest"), "order of waiting requests: oldest or newest first");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    }
    catch (const options::error& error) {
        fmt::print(stderr, "overloadexperiment: {}\n", error.what());
        return 2;
    }
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    set_log_level(log_level::error);
    base.admission.order = order == "newest" ? queue_order::newest_first : queue_order::oldest_first;
    const unsigned columns = values.contains("no-baselines") ? 1 : modes.size();
    for (const deployment& topology : {tambour_deployment(), benali_deployment()}) {
        base.topology = topology;
        measure_deployment(base, seeds, columns, workers, filter);
    }
    fmt::print("\nviolations of importance_order: {}, of attempts_bounded: {}\n",
               invariant_monitor::instance().violations(invariant::importance_order),
               invariant_monitor::instance().violations(invariant::attempts_bounded));
    return 0;
}
