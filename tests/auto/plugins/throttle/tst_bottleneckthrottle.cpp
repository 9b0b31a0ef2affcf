#include "fakes/virtualtimerservice.h"
#include "plugins/throttle/bottleneckthrottle.h"
#include "plugins/throttle/downstreammonitor.h"

#include <algorithm>
#include <map>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace mulberry;

namespace {

const std::vector<downstream_load> nothing;

downstream_load load_of(std::string service, float share)
{
    return {std::move(service), share};
}

struct monitor_fixture {
    void calls(std::string_view service, int number, int refused, std::span<const downstream_load> loads = {})
    {
        for (int call = 0; call < number; ++call) {
            timers.advance(duration{2'000});
            if (call < refused) {
                monitor.on_refused(service);
            }
            else {
                monitor.on_answered(service, loads);
            }
        }
    }

    virtual_timer_service timers;
    downstream_monitor monitor{timers};
};

/// One entry before two services that lead to one bottleneck of a fixed capacity: a request for "enquiries" is of
/// background importance, one for "orders" of critical importance and makes twice as many calls.
struct graph_fixture {
    struct kind {
        std::string service;
        importance level;
        double calls_per_s;
        double admitted = 0;
        double offered = 0;
    };

    /// Plays the demand for some time and returns the part of each kind that was admitted in the last third.
    std::map<std::string, double> play(std::vector<kind> kinds, double capacity_per_s, duration time)
    {
        constexpr duration step{20'000};
        std::map<std::string, double> parts;
        for (kind& each : kinds)
            each.admitted = each.offered = 0;
        const auto steps = time / step;
        for (std::int64_t index = 0; index < steps; ++index) {
            timers.advance(step);
            double demand = 0;
            for (kind& each : kinds) {
                const bool admitted = !throttle.check(each.service, {each.level, each.level}).has_value();
                demand += each.calls_per_s * throttle.admitted_part(each.service, {each.level, each.level});
                if (index * 3 < steps * 2)
                    continue;
                each.offered += 1;
                each.admitted += admitted ? 1 : 0;
            }
            refused_share = std::max(0.0, 1 - capacity_per_s / demand);
            const std::vector<downstream_load> loads{load_of("lathes", static_cast<float>(refused_share))};
            for (const kind& each : kinds)
                throttle.observe(each.service, random.unit() < refused_share, refused_share > 0 ? loads : nothing);
        }
        for (const kind& each : kinds)
            parts[each.service] = each.admitted / each.offered;
        return parts;
    }

    virtual_timer_service timers;
    seeded_random_source random{7};
    bottleneck_throttle throttle{{}, timers, random};
    double refused_share = 0;
};

const std::vector<graph_fixture::kind> enquiries_and_orders{{"enquiries", importance::background, 100},
                                                            {"orders", importance::critical, 100}};

} // namespace

// Guards against a bottleneck that the entries never hear of: refusals are reported under the service that refused,
// whether the upstream called it itself or a service between them did.
BOOST_FIXTURE_TEST_CASE(reports_who_refused_here_and_further_down, monitor_fixture)
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

// Guards against entries that go on refusing because of a report of long ago.
BOOST_FIXTURE_TEST_CASE(forgets_a_bottleneck_that_has_room_again, monitor_fixture)
{
    calls("stores", 100, 0, std::vector{load_of("lathes", 0.4F)});
    calls("stores", 1'000, 0);
    BOOST_TEST(monitor.report().empty());
}

// Guards against answers that grow with the number of services.
BOOST_FIXTURE_TEST_CASE(reports_a_few_services_only, monitor_fixture)
{
    for (const char* service : {"a", "b", "c", "d", "e", "f"})
        calls(service, 20, 10);
    BOOST_TEST(monitor.report().size() == most_downstream_loads);
}

// Guards against a report that circles between services that call each other.
BOOST_AUTO_TEST_CASE(reports_do_not_circle)
{
    virtual_timer_service timers;
    downstream_monitor left{timers};
    downstream_monitor right{timers};
    left.on_answered("right", std::vector{load_of("lathes", 0.9F)});
    for (int call = 0; call < 20'000; ++call) {
        timers.advance(duration{5'000});
        right.on_answered("left", left.report());
        left.on_answered("right", right.report());
    }
    BOOST_TEST(left.report().empty());
    BOOST_TEST(right.report().empty());
}

BOOST_FIXTURE_TEST_CASE(admits_everything_while_nothing_lacks_room, graph_fixture)
{
    const auto parts = play(enquiries_and_orders, 210, duration{10'000'000});
    BOOST_TEST(parts.at("enquiries") == 1.0);
    BOOST_TEST(parts.at("orders") == 1.0);
}

// Guards against important requests that fail deep in the graph while less important ones use the bottleneck.
BOOST_FIXTURE_TEST_CASE(the_least_important_give_way_across_services, graph_fixture)
{
    const auto parts = play(enquiries_and_orders, 160, duration{12'000'000});
    BOOST_TEST(parts.at("orders") == 1.0);
    BOOST_TEST(parts.at("enquiries") < 0.85);
    BOOST_TEST(parts.at("enquiries") > 0.5);
    BOOST_TEST(refused_share < 0.05);
}

// Guards against routes of less importance that keep up while those of more are refused within one organisation's
// level.
BOOST_FIXTURE_TEST_CASE(routes_rank_within_a_level, graph_fixture)
{
    const std::vector<downstream_load> full{load_of("lathes", 0.3F)};
    const request_rank first{importance::high, importance::critical};
    const request_rank last{importance::high, importance::background};
    for (int index = 0; index < 30; ++index) {
        timers.advance(duration{10'000});
        throttle.check("orders", first);
        throttle.check("orders", last);
        throttle.observe("orders", true, full);
    }
    BOOST_TEST(throttle.admitted_part("orders", first) > throttle.admitted_part("orders", last));
}

// Guards against a kind of request that is starved when the bottleneck lacks more room than the others can give.
BOOST_FIXTURE_TEST_CASE(no_importance_is_starved, graph_fixture)
{
    const auto parts = play(enquiries_and_orders, 20, duration{20'000'000});
    BOOST_TEST(parts.at("enquiries") > 0.3);
    BOOST_TEST(parts.at("orders") > 0.3);
}

// Guards against refusals that outlive the lack of room.
BOOST_FIXTURE_TEST_CASE(admits_everything_again_soon, graph_fixture)
{
    play(enquiries_and_orders, 160, duration{10'000'000});
    const auto parts = play(enquiries_and_orders, 400, duration{12'000'000});
    BOOST_TEST(parts.at("enquiries") == 1.0);
}

// Guards against refusing requests on a route that shares its service with others that lead to the bottleneck: its
// answers report the bottleneck too, but its own requests don't fail.
BOOST_FIXTURE_TEST_CASE(routes_that_do_not_fail_are_not_refused, graph_fixture)
{
    const std::vector<downstream_load> full{load_of("lathes", 0.3F)};
    const request_rank rank{importance::normal, importance::normal};
    for (int index = 0; index < 200; ++index) {
        timers.advance(duration{10'000});
        throttle.check("stores/level", rank);
        throttle.check("stores/reserve", rank);
        throttle.observe("stores/level", index % 3 == 0, full);
        throttle.observe("stores/reserve", index % 100 == 0, full);
    }
    BOOST_TEST(throttle.admitted_part("stores/level", rank) < 0.7);
    BOOST_TEST(throttle.admitted_part("stores/reserve", rank) == 1.0);
}

// Guards against refusing requests that don't lead to the bottleneck.
BOOST_FIXTURE_TEST_CASE(other_services_are_not_refused, graph_fixture)
{
    play(enquiries_and_orders, 100, duration{10'000'000});
    BOOST_TEST(throttle.admitted_part("brochures", {importance::background, importance::background}) == 1.0);
    BOOST_TEST(throttle.admitted_part("enquiries", {importance::background, importance::background}) < 1.0);
}
