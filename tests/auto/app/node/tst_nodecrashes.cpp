#include "auto/app/node/testfleet.h"
#include "fakes/crashscenario.h"

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t allowed_retries = 3;

struct crash_fixture {
    test_fleet fleet{fleet_plan{.nodes_per_service_and_domain = 3}, 1};
    crash_scenario<test_fleet> scenario{
        fleet, [this](const std::string& content) { return make_request(fleet.key_of("band"), content, true); }};

    crash_fixture()
    {
        fleet.on_run = [this](const std::string& service, const http_request& request) {
            if (service == "orders")
                scenario.record_run(request);
        };
        fleet.add_organisation("band", 100, 100);
        fleet.run_until_ready();
    }
};

} // namespace

// Guards against a request that has crashed three upstreams and is sent to more of them when it comes again.
BOOST_FIXTURE_TEST_CASE(crashing_request_reaches_upstreams_after_its_third_crash, crash_fixture)
{
    scenario.send_crashing_requests(20s, 300ms);
    BOOST_TEST(scenario.crashing_runs() >= 3U);
    BOOST_TEST(scenario.runs_after_third_crash() <= allowed_retries);
}

} // namespace mulberry
