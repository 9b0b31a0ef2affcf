#include "auto/app/sidecar/sidecarfleet.h"
#include "fakes/crashscenario.h"

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t allowed_retries = 3;

struct crash_fixture {
    sidecar_fleet fleet{8, 1};
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

    crash_fixture()
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

} // namespace mulberry
