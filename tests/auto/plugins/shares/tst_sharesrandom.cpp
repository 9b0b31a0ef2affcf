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

/// Part of its rate that an overloaded organisation gets again once all leases of the faults have ended.
constexpr double recovery_target = 0.9;

/// The sum of all shares, with room for rounding in the figures of the status.
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
    BOOST_TEST_MESSAGE("seed " << seed << ": admitted " << result.admitted << ", held " << result.most_held
                               << ", mean held " << result.mean_held << ", recovered " << result.recovered);
    BOOST_TEST(result.excess == 0U, "seed " << seed << ": first excess " << result.first_excess);
    BOOST_TEST(result.most_held <= held_bound, "seed " << seed << ": " << result.most_held << " of the figure of "
                                                       << result.most_held_at << " was held");
    BOOST_TEST(result.recovered >= recovery_target, "seed " << seed << ": recovered " << result.recovered);
    BOOST_TEST(invariant_monitor::instance().violations(invariant::rate_bounded) == violations,
               "seed " << seed << ": invariant rate_bounded violated");
}

struct quiet_log {
    quiet_log() { set_log_level(log_level::error); }
};

} // namespace

BOOST_GLOBAL_FIXTURE(quiet_log);

// Guards against any way in which nodes together admit more than rate x window + burst, and against shares that stay
// lost after the faults.
BOOST_AUTO_TEST_CASE(bound_holds_under_random_faults)
{
    const arguments run = read_arguments();
    for (const std::uint64_t seed : run.seeds)
        check_seed(seed, run.length);
}

// Guards against a check that cannot fail: holders that get twice what the keeper granted must be seen.
BOOST_AUTO_TEST_CASE(check_sees_doubled_grants)
{
    const random_run_result result = run_random({.seed = 1, .length = std::chrono::minutes(2), .doubles_grants = true});
    BOOST_TEST(result.excess > 0U);
}

// Guards against a run without lapsing leases: clocks slower than the drift allowance must break the bound.
BOOST_AUTO_TEST_CASE(check_sees_clocks_beyond_the_drift_allowance)
{
    double most_held = 0;
    for (std::uint64_t seed = 1; seed <= 8 && most_held <= held_bound; ++seed)
        most_held = run_random({.seed = seed, .length = std::chrono::minutes(15), .slow_clocks = true}).most_held;
    BOOST_TEST(most_held > held_bound);
}

} // namespace mulberry::shares
