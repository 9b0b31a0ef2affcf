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
        fleet.on_run = [this](const std::string&, const http_request& request) { scenario.record_run(request); };
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

// Guards against a request of a kind that must not be repeated, which callers send again all the same.
BOOST_FIXTURE_TEST_CASE(non_idempotent_request_reaches_upstreams_after_its_third_crash, crash_fixture)
{
    fleet.crashing_requests.matches = [](const http_request& request) { return request.url.ends_with("/place"); };
    for (int i = 0; i < 60; ++i) {
        fleet.send("orders-quay-1", make_request(fleet.key_of("band"), "crash", false), [](const caller_response&) {});
        fleet.run(300ms);
    }
    BOOST_TEST(scenario.crashing_runs() >= 3U);
    BOOST_TEST(scenario.runs_after_third_crash() <= allowed_retries);
}

// Guards against a nested call that crashes the upstreams of a service further down each time its parent comes again.
BOOST_FIXTURE_TEST_CASE(nested_call_reaches_upstreams_after_its_third_crash, crash_fixture)
{
    fleet.crashing_requests.matches = [](const http_request& request) { return request.url.ends_with("/count"); };
    scenario.send_crashing_requests(20s, 300ms);
    BOOST_TEST(scenario.crashing_runs() >= 3U);
    BOOST_TEST(scenario.runs_after_third_crash() <= allowed_retries);
}

// Guards against requests that are refused because upstreams were lost for other reasons while running them.
BOOST_FIXTURE_TEST_CASE(requests_of_upstreams_lost_for_other_reasons_are_refused, crash_fixture)
{
    scenario.send_beside_crashes({"popular"}, 15s, 20ms, 3s);
    scenario.send_beside_crashes({"a", "b", "c", "d"}, 20s, 1s, 2500ms);
    fleet.run(5s);
    BOOST_TEST(scenario.count_unserved({"popular", "a", "b", "c", "d", "new"}) == 0U);
}

// Guards against nodes that forget the crashing request when they restart, one after the other.
BOOST_FIXTURE_TEST_CASE(restarted_nodes_send_the_crashing_request_again, crash_fixture)
{
    scenario.send_crashing_requests(8s, 300ms);
    const std::size_t runs = scenario.crashing_runs();
    for (const std::string& node : fleet.names()) {
        fleet.stop(node);
        fleet.run(2s);
        fleet.start(node);
        fleet.run(6s);
        scenario.send(node, "crash");
        fleet.run(1s);
    }
    BOOST_TEST(runs >= 3U);
    BOOST_TEST(scenario.crashing_runs() == runs);
}

// Guards against a fleet that sends the crashing request to upstreams again after all its nodes were killed at once.
BOOST_FIXTURE_TEST_CASE(fleet_sends_the_crashing_request_after_a_restart_of_all_nodes, crash_fixture)
{
    scenario.send_crashing_requests(8s, 300ms);
    const std::size_t runs = scenario.crashing_runs();
    for (const std::string& node : fleet.names())
        fleet.stop(node);
    fleet.run(1s);
    for (const std::string& node : fleet.names())
        fleet.start(node);
    fleet.run_until_ready();
    scenario.send_crashing_requests(10s, 300ms);
    BOOST_TEST(runs >= 3U);
    BOOST_TEST(scenario.crashing_runs() == runs);
}

// Guards against a failure domain that was cut off during the crashes and sends the request to its upstreams
// afterwards.
BOOST_FIXTURE_TEST_CASE(domain_cut_off_during_the_crashes_sends_the_request, crash_fixture)
{
    fleet.set_group("curepipe", 1);
    for (int i = 0; i < 20; ++i) {
        scenario.send("orders-quay-1", "crash");
        fleet.run(300ms);
    }
    const std::size_t runs = scenario.crashing_runs();
    fleet.set_group("curepipe", 0);
    fleet.run(10s);
    scenario.send_crashing_requests(10s, 300ms);
    BOOST_TEST(runs >= 3U);
    BOOST_TEST(scenario.crashing_runs() == runs);
}

} // namespace mulberry
