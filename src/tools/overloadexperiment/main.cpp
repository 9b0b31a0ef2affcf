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

/// One line of the table: a figure of a run plan, and the bound from section 1.2 of docs/design.md.
struct measure {
    std::string name;
    run_plan plan;
    double (*figure)(const run_result&);
    double bound = 0;
    bool at_least = true;
    bool has_target = true;
    bool is_seconds = false;
};

struct cell {
    std::vector<double> figures;
};

constexpr std::array modes{control_mode::slices, control_mode::fixed_limit, control_mode::none};

double goodput(const run_result& result)
{
    return result.goodput;
}

double served_normal(const run_result& result)
{
    return result.served[1];
}

double served_important(const run_result& result)
{
    return std::min(result.served[2], result.served[3]);
}

double worst_in_rate(const run_result& result)
{
    return result.worst_in_rate;
}

double worst_fair_share(const run_result& result)
{
    return result.worst_fair_share;
}

double wasted(const run_result& result)
{
    return result.wasted;
}

double recovery(const run_result& result)
{
    return result.recovery_s < 0 ? to_seconds(watched_after_stall) : result.recovery_s;
}

double refused_in_rate(const run_result& result)
{
    return 1 - result.worst_in_rate;
}

std::vector<measure> measures_for(const run_plan& base)
{
    std::vector<measure> list;
    const auto add = [&](std::string name, double load, double (*figure)(const run_result&), double bound,
                         bool at_least, bool has_target) -> measure& {
        measure each{std::move(name), base, figure, bound, at_least, has_target, false};
        each.plan.load = load;
        list.push_back(std::move(each));
        return list.back();
    };
    for (const double load : {1.0, 2.0, 4.0, 8.0}) {
        add(fmt::format("goodput at {}x", load), load, goodput, 0.9, true, load == 8);
        add(fmt::format("high and critical served at {}x", load), load, served_important, 0.99, true, true);
        add(fmt::format("normal served at {}x", load), load, served_normal, 0, true, false);
    }
    add("wasted upstream time at 4x", 4, wasted, 0.05, false, true);
    add("least fair share of an organisation at 4x", 4, worst_fair_share, 0.9, true, true);
    measure& hard = add("goodput at 4x, hard retries", 4, goodput, 0.9, true, false);
    hard.plan.caller_attempts = 5;
    measure& flood = add("in-rate served, one sends 5x its rate at 0.8x", 0.8, worst_in_rate, 0.99, true, true);
    flood.plan.flood = 5;
    measure& flood_over = add("in-rate served, one sends 20x its rate at 0.8x", 0.8, worst_in_rate, 0.99, true, true);
    flood_over.plan.flood = 20;
    measure& flood_fair = add("least fair share, one sends 5x its rate at 4x", 4, worst_fair_share, 0.9, true, true);
    flood_fair.plan.flood = 5;
    add("refused at 0.8x", 0.8, refused_in_rate, 0.001, false, true);
    measure& stall = add("recovery after a 10 s stall at 0.8x, hard retries", 0.8, recovery, 2, false, true);
    stall.plan.stall = duration{10'000'000};
    stall.plan.caller_attempts = 5;
    stall.is_seconds = true;
    return list;
}

std::string readable(const measure& row, double figure)
{
    return row.is_seconds ? fmt::format("{:.1f} s", figure) : fmt::format("{:.2f}%", figure * 100);
}

/// Median and worst over the seeds.
std::pair<double, double> summary(const measure& row, std::vector<double> figures)
{
    std::ranges::sort(figures);
    return {figures[figures.size() / 2], row.at_least ? figures.front() : figures.back()};
}

void print_table(const std::vector<measure>& rows, const std::vector<cell>& cells, unsigned columns)
{
    fmt::print("| measure | target | slices: median, worst | |");
    fmt::print("{}\n", columns > 1 ? " fixed limit: median, worst | no control: median, worst |" : "");
    fmt::print("|---|---|---|---|{}\n", columns > 1 ? "---|---|" : "");
    for (std::size_t row = 0; row < rows.size(); ++row) {
        const measure& each = rows[row];
        const std::string target =
            each.has_target ? fmt::format("{} {}", each.at_least ? ">=" : "<", readable(each, each.bound)) : "-";
        const double worst = summary(each, cells[row * columns].figures).second;
        const bool met = each.at_least ? worst >= each.bound : worst < each.bound;
        fmt::print("| {} | {} |", each.name, target);
        for (unsigned column = 0; column < columns; ++column) {
            const auto [middle, last] = summary(each, cells[row * columns + column].figures);
            fmt::print(" {}, {} |", readable(each, middle), readable(each, last));
            if (column == 0)
                fmt::print(" {} |", !each.has_target ? "" : met ? "met" : "MISS");
        }
        fmt::print("\n");
    }
}

struct job {
    std::size_t cell = 0;
    const measure* row = nullptr;
    run_plan plan;
    double figure = 0;
};

void run_all(std::vector<job>& jobs, unsigned workers)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> threads;
    for (unsigned worker = 0; worker < workers; ++worker) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < jobs.size(); index = next++)
                jobs[index].figure = jobs[index].row->figure(run(jobs[index].plan));
        });
    }
}

void measure_deployment(const run_plan& base, unsigned seeds, unsigned columns, unsigned workers,
                        const std::string& filter)
{
    std::vector<measure> rows = measures_for(base);
    std::erase_if(rows, [&](const measure& row) { return row.name.find(filter) == std::string::npos; });
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
        cells[each.cell].figures.push_back(each.figure);
    fmt::print("\n{}, capacity {:.0f}/s, seeds 1 to {}\n\n", base.plan.name, base.plan.capacity(), seeds);
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
    options::options_description description("Measures the overload decisions in virtual time");
    description.add_options()("help", "print this text")("seeds", options::value(&seeds)->default_value(5),
                                                         "runs per figure, with seeds from 1 on")(
        "jobs", options::value(&workers)->default_value(3), "threads")("no-baselines", "measure the slices only")(
        "only", options::value(&filter)->default_value(""), "rows whose name contains this text")(
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
    for (const deployment& plan : {tambour(), benali()}) {
        base.plan = plan;
        measure_deployment(base, seeds, columns, workers, filter);
    }
    fmt::print("\nviolations of importance_order: {}, of attempts_bounded: {}\n",
               invariant_monitor::instance().violations(invariant::importance_order),
               invariant_monitor::instance().violations(invariant::attempts_bounded));
    return 0;
}
