#include "auto/app/node/randomfleetrun.h"

#include <array>
#include <charconv>

#include <boost/program_options.hpp>
#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

struct run_options {
    std::uint64_t first_seed = 1;
    std::uint64_t last_seed = 12;
    std::int64_t seconds = 120;
};

/// Parses the options "--seeds A..B" and "--length SECONDS", which follow "--" on the command line.
run_options read_options()
{
    namespace options = boost::program_options;
    options::options_description description;
    description.add_options()("seeds", options::value<std::string>())("length", options::value<std::int64_t>());
    const auto& suite = boost::unit_test::framework::master_test_suite();
    options::variables_map values;
    options::store(options::command_line_parser(suite.argc, suite.argv).options(description).run(), values);
    run_options result;
    if (values.contains("length"))
        result.seconds = values["length"].as<std::int64_t>();
    if (!values.contains("seeds"))
        return result;
    const auto range = values["seeds"].as<std::string>();
    const std::size_t dots = range.find("..");
    result.first_seed = std::stoull(range);
    result.last_seed = dots == std::string::npos ? result.first_seed : std::stoull(range.substr(dots + 2));
    return result;
}

run_report run_seed(std::uint64_t seed, duration length, injected_bug bug = injected_bug::none)
{
    random_fleet_run run(seed, length, bug);
    return run.run();
}

} // namespace

// Guards against violations of the system's guarantees when faults of the network, the store, nodes and upstreams occur
// at any time and at the same time.
BOOST_AUTO_TEST_CASE(fleet_holds_its_invariants_under_faults)
{
    const run_options options = read_options();
    for (std::uint64_t seed = options.first_seed; seed <= options.last_seed; ++seed) {
        const run_report report = run_seed(seed, std::chrono::seconds(options.seconds));
        BOOST_TEST_MESSAGE("seed " << seed << ": " << report.requests << " requests, " << report.served << " served, "
                                   << report.faults << " faults");
        for (const std::string& violation : report.violations)
            BOOST_ERROR("seed " << seed << ", " << violation);
        BOOST_TEST(report.served > 0);
    }
}

// Guards against runs that cannot be reproduced because they depend on anything other than their seed.
BOOST_AUTO_TEST_CASE(same_seed_gives_the_same_run)
{
    const run_report first = run_seed(3, 30s);
    const run_report second = run_seed(3, 30s);
    BOOST_TEST(first.served == second.served);
    BOOST_TEST(first.faults == second.faults);
    BOOST_TEST(first.violations == second.violations, boost::test_tools::per_element());
}

// Guards against checks of the run that never fail: each injected bug must be detected by its check.
BOOST_AUTO_TEST_CASE(injected_bugs_are_detected)
{
    struct row {
        injected_bug bug;
        std::string expected_violation;
    };
    const std::array rows{row{injected_bug::resend_after_unknown_outcome, "times, its reservation"},
                          row{injected_bug::swap_responses, "received the response"},
                          row{injected_bug::report_run_as_not_run, "was reported as not run"},
                          row{injected_bug::ignore_view_age, "after the withdrawal"}};
    for (const row& tested : rows) {
        bool detected = false;
        for (std::uint64_t seed = 1; seed <= 20 && !detected; ++seed) {
            for (const std::string& violation : run_seed(seed, 90s, tested.bug).violations)
                detected = detected || violation.find(tested.expected_violation) != std::string::npos;
        }
        BOOST_TEST_MESSAGE(tested.expected_violation << " detected");
        BOOST_TEST(detected, tested.expected_violation);
    }
}

} // namespace mulberry
