#include "auto/app/sidecar/sidecarfleet.h"
#include "fakes/crashscenario.h"

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t allowed_retries = 3;

struct crash_fixture {
    sidecar_fleet fleet;
    int last_id = 0;
    crash_scenario<sidecar_fleet> scenario{
        fleet, [this](const std::string& content) {
            caller_request request;
            request.method = "GET";
            request.path = "/list/" + content;
            request.host = "shop.example";
            request.headers = {{"Authorization", "Token good"}, {"Request-Id", std::to_string(++last_id)}};
            return request;
        }};

    explicit crash_fixture(int nodes = 8) : fleet(nodes, 1)
    {
        fleet.on_run = [this](const http_request& request) { scenario.record_run(request); };
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

// Guards against a popular request that is refused because it was running at every crash.
BOOST_FIXTURE_TEST_CASE(popular_request_beside_a_crashing_one_is_refused, crash_fixture)
{
    for (int i = 0; i < 200; ++i) {
        for (const std::string& node : fleet.names())
            scenario.send(node, "popular");
        if (i % 3 == 0)
            scenario.send(fleet.names()[static_cast<std::size_t>(i) % 8], "crash");
        fleet.run(100ms);
    }
    fleet.run(3s);
    BOOST_TEST(scenario.runs_after_third_crash() <= allowed_retries);
    BOOST_TEST(scenario.count_unserved({"popular"}) == 0U);
}

// Guards against requests that are refused because they were running beside the crashing one, although each was sent
// only once.
BOOST_FIXTURE_TEST_CASE(rare_requests_beside_a_crashing_one_are_refused, crash_fixture)
{
    std::vector<std::string> rare;
    for (int i = 0; i < 200; ++i) {
        rare.push_back("rare" + std::to_string(i));
        scenario.send(fleet.names()[static_cast<std::size_t>(i) % 8], rare.back());
        if (i % 3 == 0)
            scenario.send(fleet.names()[static_cast<std::size_t>(i) % 5], "crash");
        fleet.run(20ms);
    }
    fleet.run(3s);
    BOOST_TEST(scenario.crashing_runs() >= 3U);
    BOOST_TEST(scenario.count_unserved(rare) == 0U);
}

// Guards against requests that are refused because upstreams were lost for other reasons while running them: all at
// once again and again, with popular requests, some that come every second, and one that had not been sent before.
BOOST_FIXTURE_TEST_CASE(requests_of_upstreams_lost_for_other_reasons_are_refused, crash_fixture)
{
    scenario.send_beside_crashes({"popular"}, 20s, 10ms, 3s);
    scenario.send_beside_crashes({"a", "b", "c", "d"}, 30s, 1s, 2500ms);
    fleet.run(5s);
    for (const std::string& node : fleet.names())
        BOOST_TEST(fleet.at(node).quarantine().quarantined() == 0U);
    BOOST_TEST(scenario.count_unserved({"popular", "a", "b", "c", "d", "new"}) == 0U);
}

// Guards against requests that are refused because all upstreams were lost several times before they had completed any
// of them.
BOOST_FIXTURE_TEST_CASE(new_requests_lost_with_all_upstreams_are_refused, crash_fixture)
{
    const std::vector<std::string> contents{"a", "b", "c", "d", "e"};
    for (const std::string& node : fleet.names())
        fleet.upstream(node).set_faults({.service_time = 1s});
    scenario.send_beside_crashes(contents, 10s, 100ms, 2s);
    for (const std::string& node : fleet.names())
        fleet.upstream(node).set_faults({});
    fleet.run(5s);
    BOOST_TEST(scenario.count_unserved(contents) == 0U);
}

// Guards against nodes that forget the crashing request when they restart, one after the other.
BOOST_FIXTURE_TEST_CASE(restarted_nodes_send_the_crashing_request_again, crash_fixture)
{
    scenario.send_crashing_requests(8s, 300ms);
    const std::size_t runs = scenario.crashing_runs();
    for (const std::string& node : fleet.names()) {
        fleet.stop(node);
        fleet.run(1s);
        fleet.start(node);
        fleet.run(4s);
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
    fleet.run(3s);
    scenario.send_crashing_requests(10s, 300ms);
    BOOST_TEST(runs >= 3U);
    BOOST_TEST(scenario.crashing_runs() == runs);
}

// Guards against nodes that were cut off during the crashes and send the request to upstreams afterwards.
BOOST_FIXTURE_TEST_CASE(nodes_cut_off_during_the_crashes_send_the_request, crash_fixture)
{
    const std::vector<std::string> names = fleet.names();
    for (std::size_t i = 4; i < names.size(); ++i)
        fleet.set_group(names[i], 1);
    for (int i = 0; i < 20; ++i) {
        scenario.send(names[static_cast<std::size_t>(i) % 4], "crash");
        fleet.run(300ms);
    }
    const std::size_t runs = scenario.crashing_runs();
    for (std::size_t i = 0; i < 4; ++i)
        fleet.set_group(names[i], 1);
    fleet.run(4s);
    scenario.send_crashing_requests(10s, 300ms);
    BOOST_TEST(runs >= 3U);
    BOOST_TEST(scenario.crashing_runs() == runs);
}

// Guards against a crashing request that many callers send at once, so that several upstreams crash within the time
// that the reports take, beside restarts of nodes and a cut between them.
BOOST_FIXTURE_TEST_CASE(request_that_crashes_several_upstreams_at_once_is_sent_on, crash_fixture)
{
    const std::vector<std::string> names = fleet.names();
    for (int i = 0; i < 100; ++i) {
        const bool is_stopped = i > 5 && i <= 15;
        for (const std::string& node : names) {
            if (node == names[2] && is_stopped)
                continue;
            scenario.send(node, "sound" + std::to_string(i % 20));
            if (i % 2 == 0)
                scenario.send(node, "crash");
        }
        if (i == 5)
            fleet.stop(names[2]);
        if (i == 15)
            fleet.start(names[2]);
        if (i == 20 || i == 40)
            fleet.set_group(names[5], i == 20 ? 1 : 0);
        fleet.run(100ms);
    }
    BOOST_TEST(scenario.crashing_runs() >= 3U);
    BOOST_TEST(scenario.runs_after_third_crash() <= allowed_retries);
    fleet.run(3s);
    BOOST_TEST(scenario.count_unserved({"sound1", "sound2"}) == 0U);
}

// Guards against a fleet of many nodes in which not all learn of the crashing request.
BOOST_AUTO_TEST_CASE(node_of_a_large_fleet_sends_the_crashing_request)
{
    crash_fixture large(60);
    large.scenario.send_crashing_requests(5s, 100ms);
    const std::size_t runs = large.scenario.crashing_runs();
    for (const std::string& node : large.fleet.names())
        BOOST_TEST(large.fleet.at(node).quarantine().quarantined() == 1U);
    large.scenario.send_crashing_requests(10s, 100ms);
    BOOST_TEST(large.scenario.crashing_runs() == runs);
}

} // namespace mulberry
