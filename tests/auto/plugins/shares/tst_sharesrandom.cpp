#include "randomrun.h"

#include "libs/base/invariant.h"
#include "libs/base/log.h"

#include <boost/program_options.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <charconv>

namespace mulberry::shares {

namespace {

namespace options = boost::program_options;

/// Fraction of its rate that an overloaded organisation must get again once all leases affected by the faults have
/// expired.
constexpr double recovery_target = 0.9;

/// The sum of all shares, with a tolerance for the rounding of the status values.
constexpr double held_bound = 1 + 1e-6;

struct arguments {
    std::vector<std::uint64_t> seeds{1, 2, 3, 4, 5, 6, 7, 8};
    duration length = std::chrono::minutes(15);
};

/// Reads "--seeds A..B" and "--length SECONDS" after the "--" of the command line.
arguments read_arguments()
{
    const auto& suite = boost::unit_test::framework::master_test_suite();
    options::options_description description;
    description.add_options()("seeds", options::value<std::string>())("length", options::value<std::int64_t>());
    options::variables_map values;
    options::store(options::parse_command_line(suite.argc, suite.argv, description), values);
    arguments result;
    if (values.contains("length"))
        result.length = std::chrono::seconds(values["length"].as<std::int64_t>());
    if (!values.contains("seeds"))
        return result;
    const std::string range = values["seeds"].as<std::string>();
    const std::size_t dots = range.find("..");
    const std::uint64_t first = std::stoull(range);
    const std::uint64_t last = dots == std::string::npos ? first : std::stoull(range.substr(dots + 2));
    result.seeds.clear();
    for (std::uint64_t seed = first; seed <= last; ++seed)
        result.seeds.push_back(seed);
    return result;
}

void check_seed(std::uint64_t seed, duration length)
{
    const std::uint64_t violations = invariant_monitor::instance().violations(invariant::rate_bounded);
    const random_run_result result = run_random({.seed = seed, .length = length});
    BOOST_TEST_MESSAGE("seed " << seed << ": admitted " << result.admitted << ", held " << result.max_held
                               << ", mean held " << result.mean_held << ", recovered " << result.recovered_fraction);
    BOOST_TEST(result.excess == 0U, "seed " << seed << ": first excess " << result.first_excess);
    BOOST_TEST(result.max_held <= held_bound, "seed " << seed << ": " << result.max_held << " of the rate limit of "
                                                      << result.max_held_at << " was held");
    BOOST_TEST(result.recovered_fraction >= recovery_target,
               "seed " << seed << ": recovered " << result.recovered_fraction);
    BOOST_TEST(invariant_monitor::instance().violations(invariant::rate_bounded) == violations,
               "seed " << seed << ": invariant rate_bounded violated");
}

struct quiet_log {
    quiet_log() { set_log_level(log_level::error); }
};

} // namespace

BOOST_GLOBAL_FIXTURE(quiet_log);

// Guards against every way in which nodes together admit more than rate x window + burst, and against shares that
// remain lost after the faults.
BOOST_AUTO_TEST_CASE(rate_bound_holds_under_random_faults)
{
    const arguments run = read_arguments();
    for (const std::uint64_t seed : run.seeds)
        check_seed(seed, run.length);
}

// Guards against a check that cannot fail: it must detect nodes that get twice the share that the coordinator granted.
BOOST_AUTO_TEST_CASE(check_detects_doubled_grants)
{
    const random_run_result result = run_random({.seed = 1, .length = std::chrono::minutes(2), .doubles_grants = true});
    BOOST_TEST(result.excess > 0U);
}

// Guards against a run in which no lease expires: clocks slower than the drift allowance must break the bound.
BOOST_AUTO_TEST_CASE(check_detects_clocks_beyond_drift_allowance)
{
    double max_held = 0;
    for (std::uint64_t seed = 1; seed <= 8 && max_held <= held_bound; ++seed)
        max_held = run_random({.seed = seed, .length = std::chrono::minutes(15), .slow_clocks = true}).max_held;
    BOOST_TEST(max_held > held_bound);
}

} // namespace mulberry::shares
