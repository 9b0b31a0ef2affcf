#include "fakes/virtualtimerservice.h"
#include "plugins/virtualhosts/hostpolicy.h"

#include <map>
#include <optional>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

host_route make_route(std::string name, std::string prefix, std::vector<weighted_service> services)
{
    host_route made;
    made.name = std::move(name);
    made.host = "shop.example";
    made.path_prefix = std::move(prefix);
    made.services = std::move(services);
    made.timeout = 1s;
    made.max_attempts = 2;
    return made;
}

host_configuration make_configuration(std::int64_t version)
{
    host_configuration made;
    made.version = version;
    made.routes = {make_route("short", "/a/", {{"orders", 1}}), make_route("long", "/a/b/", {{"stores", 1}}),
                   make_route("split", "/s/", {{"orders", 9}, {"stores", 1}})};
    made.services = {"orders", "stores"};
    made.organisations = {{"school", {"key-1", "key-2"}, importance::critical, 10, 5}, {"kiosk", {"key-3"}, {}, 0, 0}};
    return made;
}

struct policy_fixture {
    virtual_timer_service timers;
    std::optional<time_point> confirmed = timers.now();
    host_policy policy{timers, 3s, [this] { return confirmed; }};

    policy_fixture() { policy.apply(make_configuration(5)); }

    std::string service_of(std::string_view path, std::string_view host = "shop.example")
    {
        const auto found = policy.match("GET", path, host);
        if (const auto* refused = std::get_if<refusal>(&found))
            return std::string(to_string(refused->reason));
        return std::get<matched_route>(found).service;
    }
};

} // namespace

// Guards against a request that goes to a shorter prefix, to another host's routes, or past a prefix's slash.
BOOST_FIXTURE_TEST_CASE(the_longest_prefix_of_the_host_wins, policy_fixture)
{
    BOOST_TEST(service_of("/a/x") == "orders");
    BOOST_TEST(service_of("/a/b/x?q=/s/") == "stores");
    BOOST_TEST(service_of("/a/b") == "orders");
    BOOST_TEST(service_of("/ab/") == "route_unknown");
    BOOST_TEST(service_of("/a/x", "SHOP.example:80") == "orders");
    BOOST_TEST(service_of("/a/x", "other.example") == "route_unknown");
}

// Guards against 404 for routes that exist, from a node that knows no configuration yet.
BOOST_AUTO_TEST_CASE(without_a_configuration_nothing_is_known_to_be_missing)
{
    virtual_timer_service timers;
    host_policy policy(timers, 3s, [] { return std::nullopt; });
    const auto found = policy.match("GET", "/a/", "shop.example");
    BOOST_TEST((std::get<refusal>(found).reason == refusal_reason::starting));
    BOOST_TEST(!policy.keyed_requests_allowed());
}

// Guards against shares that differ from the weights over a short time.
BOOST_FIXTURE_TEST_CASE(a_split_follows_its_weights_exactly, policy_fixture)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i)
        ++counts[service_of("/s/x")];
    BOOST_TEST(counts["orders"] == 90);
    BOOST_TEST(counts["stores"] == 10);
}

// Guards against a configuration that goes back to an earlier version.
BOOST_FIXTURE_TEST_CASE(versions_never_fall, policy_fixture)
{
    host_configuration older = make_configuration(4);
    older.routes.clear();
    BOOST_TEST(!policy.apply(older));
    BOOST_TEST(policy.revision() == 5);
    BOOST_TEST(service_of("/a/x") == "orders");
    host_configuration newer = make_configuration(9);
    newer.routes.erase(newer.routes.begin());
    BOOST_TEST(policy.apply(newer));
    BOOST_TEST(service_of("/a/x") == "route_unknown");
}

// Guards against a key that still works after the version that took it away.
BOOST_FIXTURE_TEST_CASE(a_withdrawn_key_names_nobody, policy_fixture)
{
    BOOST_TEST(policy.organisation_of("key-2").value() == "school");
    BOOST_TEST(policy.authorises("key-3", "kiosk"));
    BOOST_TEST(!policy.authorises("key-3", "school"));
    host_configuration newer = make_configuration(6);
    newer.organisations[0].keys = {"key-1"};
    policy.apply(newer);
    BOOST_TEST(!policy.organisation_of("key-2").has_value());
}

// Guards against keyed requests under a view that may lack a withdrawal.
BOOST_FIXTURE_TEST_CASE(keyed_requests_need_a_fresh_view, policy_fixture)
{
    timers.advance(3s);
    BOOST_TEST(policy.keyed_requests_allowed());
    timers.advance(1ms);
    BOOST_TEST(!policy.keyed_requests_allowed());
    confirmed = timers.now();
    BOOST_TEST(policy.keyed_requests_allowed());
    confirmed.reset();
    BOOST_TEST(!policy.keyed_requests_allowed());
}

// Guards against an importance of the route where the organisation's own goes first.
BOOST_FIXTURE_TEST_CASE(an_organisations_importance_goes_before_the_routes, policy_fixture)
{
    route rules;
    rules.level = importance::normal;
    BOOST_TEST((policy.level_of(rules, "school") == importance::critical));
    BOOST_TEST((policy.level_of(rules, "kiosk") == importance::normal));
}

} // namespace mulberry
