#include "fakes/virtualtimerservice.h"
#include "plugins/throttle/bottleneckthrottle.h"
#include "plugins/throttle/downstreammonitor.h"

#include <algorithm>
#include <map>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace mulberry;

namespace {

const std::vector<downstream_load> no_loads;

downstream_load load_of(std::string service, float share)
{
    return {std::move(service), share};
}

struct monitor_fixture {
    void calls(std::string_view service, int number, int refused_calls, std::span<const downstream_load> loads = {})
    {
        for (int call = 0; call < number; ++call) {
            timers.advance(duration{2'000});
            if (call < refused_calls) {
                monitor.on_refused(service);
            }
            else {
                monitor.on_call_response(service, loads);
            }
        }
    }

    virtual_timer_service timers;
    downstream_monitor monitor{timers};
};

/// Simulates an entry in front of services whose requests lead to one bottleneck of a fixed capacity. Requests for
/// "enquiries" are of background importance, requests for "orders" of critical importance.
struct graph_fixture {
    struct kind {
        std::string service;
        importance level;
        double calls_per_s;
        double admitted_count = 0;
        double offered_count = 0;
    };

    /// Simulates the demand for some time. Returns the share of each kind of request that was admitted in the last
    /// third.
    std::map<std::string, double> simulate(std::vector<kind> kinds, double capacity_per_s, duration time)
    {
        constexpr duration step{20'000};
        std::map<std::string, double> admitted_shares;
        for (kind& each : kinds)
            each.admitted_count = each.offered_count = 0;
        const auto steps = time / step;
        for (std::int64_t index = 0; index < steps; ++index) {
            timers.advance(step);
            double demand = 0;
            for (kind& each : kinds) {
                const bool admitted = !throttle.check(each.service, {each.level, each.level}).has_value();
                demand += each.calls_per_s * throttle.current_admitted_share(each.service, {each.level, each.level});
                if (index * 3 < steps * 2)
                    continue;
                each.offered_count += 1;
                each.admitted_count += admitted ? 1 : 0;
            }
            refused_share = std::max(0.0, 1 - capacity_per_s / demand);
            const std::vector<downstream_load> loads{load_of("lathes", static_cast<float>(refused_share))};
            for (const kind& each : kinds) {
                throttle.observe(each.service, random.uniform_real() < refused_share,
                                 refused_share > 0 ? loads : no_loads);
            }
        }
        for (const kind& each : kinds)
            admitted_shares[each.service] = each.admitted_count / each.offered_count;
        return admitted_shares;
    }

    virtual_timer_service timers;
    seeded_random_source random{7};
    bottleneck_throttle throttle{{}, timers, random};
    double refused_share = 0;
};

const std::vector<graph_fixture::kind> enquiries_and_orders{{"enquiries", importance::background, 100},
                                                            {"orders", importance::critical, 100}};

} // namespace

// Guards against a bottleneck that is not reported to the entries: refusals are reported under the name of the service
// that refused, whether the upstream called it directly or through another service.
BOOST_FIXTURE_TEST_CASE(reports_direct_and_downstream_refusals, monitor_fixture)
{
    BOOST_TEST(monitor.report().empty());
    calls("lathes", 100, 30);
    calls("stores", 200, 0, std::vector{load_of("saws", 0.4F)});
    const auto report = monitor.report();
    BOOST_REQUIRE(report.size() == 2U);
    BOOST_TEST(report[0].service == "saws");
    BOOST_TEST(report[0].refused_share > 0.3F);
    BOOST_TEST(report[0].refused_share < 0.4F);
    BOOST_TEST(report[1].service == "lathes");
}

// Guards against an outdated report that makes entries continue to refuse requests.
BOOST_FIXTURE_TEST_CASE(stops_reporting_a_bottleneck_with_free_capacity, monitor_fixture)
{
    calls("stores", 100, 0, std::vector{load_of("lathes", 0.4F)});
    calls("stores", 1'000, 0);
    BOOST_TEST(monitor.report().empty());
}

// Guards against responses whose size grows with the number of services.
BOOST_FIXTURE_TEST_CASE(reports_a_few_services_only, monitor_fixture)
{
    for (const char* service : {"a", "b", "c", "d", "e", "f"})
        calls(service, 20, 10);
    BOOST_TEST(monitor.report().size() == max_downstream_loads);
}

// Guards against a report that circulates indefinitely between services that call each other.
BOOST_AUTO_TEST_CASE(reports_do_not_circulate)
{
    virtual_timer_service timers;
    downstream_monitor first_monitor{timers};
    downstream_monitor second_monitor{timers};
    first_monitor.on_call_response("right", std::vector{load_of("lathes", 0.9F)});
    for (int call = 0; call < 20'000; ++call) {
        timers.advance(duration{5'000});
        second_monitor.on_call_response("left", first_monitor.report());
        first_monitor.on_call_response("right", second_monitor.report());
    }
    BOOST_TEST(first_monitor.report().empty());
    BOOST_TEST(second_monitor.report().empty());
}

BOOST_FIXTURE_TEST_CASE(admits_all_requests_while_no_service_is_overloaded, graph_fixture)
{
    const auto admitted_shares = simulate(enquiries_and_orders, 210, duration{10'000'000});
    BOOST_TEST(admitted_shares.at("enquiries") == 1.0);
    BOOST_TEST(admitted_shares.at("orders") == 1.0);
}

// Guards against important requests that fail deep in the graph while less important ones use the bottleneck.
BOOST_FIXTURE_TEST_CASE(least_important_requests_are_refused_first_across_services, graph_fixture)
{
    const auto admitted_shares = simulate(enquiries_and_orders, 160, duration{12'000'000});
    BOOST_TEST(admitted_shares.at("orders") == 1.0);
    BOOST_TEST(admitted_shares.at("enquiries") < 0.85);
    BOOST_TEST(admitted_shares.at("enquiries") > 0.5);
    BOOST_TEST(refused_share < 0.05);
}

// Guards against refusing requests on important routes as often as those on less important ones when both have the same
// importance because of their organisation.
BOOST_FIXTURE_TEST_CASE(routes_rank_within_a_level, graph_fixture)
{
    const std::vector<downstream_load> overloaded{load_of("lathes", 0.3F)};
    const request_rank more_important{importance::high, importance::critical};
    const request_rank less_important{importance::high, importance::background};
    for (int index = 0; index < 30; ++index) {
        timers.advance(duration{10'000});
        throttle.check("orders", more_important);
        throttle.check("orders", less_important);
        throttle.observe("orders", true, overloaded);
    }
    BOOST_TEST(throttle.current_admitted_share("orders", more_important) >
               throttle.current_admitted_share("orders", less_important));
}

// Guards against starving one importance when refusing the others does not free enough capacity.
BOOST_FIXTURE_TEST_CASE(no_importance_is_starved, graph_fixture)
{
    const auto admitted_shares = simulate(enquiries_and_orders, 20, duration{20'000'000});
    BOOST_TEST(admitted_shares.at("enquiries") > 0.3);
    BOOST_TEST(admitted_shares.at("orders") > 0.3);
}

// Guards against refusals that continue after the overload has ended.
BOOST_FIXTURE_TEST_CASE(admits_all_requests_again_after_the_overload, graph_fixture)
{
    simulate(enquiries_and_orders, 160, duration{10'000'000});
    const auto admitted_shares = simulate(enquiries_and_orders, 400, duration{12'000'000});
    BOOST_TEST(admitted_shares.at("enquiries") == 1.0);
}

// Guards against refusing requests on a route that does not call the bottleneck but shares its service with routes that
// do. Its responses report the bottleneck too, but its own requests do not fail.
BOOST_FIXTURE_TEST_CASE(routes_that_do_not_fail_are_not_refused, graph_fixture)
{
    const std::vector<downstream_load> overloaded{load_of("lathes", 0.3F)};
    const request_rank rank{importance::normal, importance::normal};
    for (int index = 0; index < 200; ++index) {
        timers.advance(duration{10'000});
        throttle.check("stores/level", rank);
        throttle.check("stores/reserve", rank);
        throttle.observe("stores/level", index % 3 == 0, overloaded);
        throttle.observe("stores/reserve", index % 100 == 0, overloaded);
    }
    BOOST_TEST(throttle.current_admitted_share("stores/level", rank) < 0.7);
    BOOST_TEST(throttle.current_admitted_share("stores/reserve", rank) == 1.0);
}

// Guards against refusing requests that do not lead to the bottleneck.
BOOST_FIXTURE_TEST_CASE(other_services_are_not_refused, graph_fixture)
{
    simulate(enquiries_and_orders, 100, duration{10'000'000});
    BOOST_TEST(throttle.current_admitted_share("brochures", {importance::background, importance::background}) == 1.0);
    BOOST_TEST(throttle.current_admitted_share("enquiries", {importance::background, importance::background}) < 1.0);
}
