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
    host_route result;
    result.name = std::move(name);
    result.host = "shop.example";
    result.path_prefix = std::move(prefix);
    result.services = std::move(services);
    result.timeout = 1s;
    result.max_attempts = 2;
    return result;
}

host_configuration make_configuration(std::int64_t version)
{
    host_configuration result;
    result.version = version;
    result.routes = {make_route("short", "/a/", {{"orders", 1}}), make_route("long", "/a/b/", {{"stores", 1}}),
                     make_route("split", "/s/", {{"orders", 9}, {"stores", 1}})};
    result.services = {"orders", "stores"};
    result.organisations = {{"school", {"key-1", "key-2"}, importance::critical, 10, 5},
                            {"kiosk", {"key-3"}, {}, 0, 0}};
    return result;
}

struct policy_fixture {
    virtual_timer_service timers;
    std::optional<time_point> confirmed_until = timers.now();
    host_policy policy{timers, 3s, [this] { return confirmed_until; }};

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

// A request must use the route with the longest matching prefix of its own host. A prefix includes its trailing slash.
BOOST_FIXTURE_TEST_CASE(the_longest_prefix_of_the_host_wins, policy_fixture)
{
    BOOST_TEST(service_of("/a/x") == "orders");
    BOOST_TEST(service_of("/a/b/x?q=/s/") == "stores");
    BOOST_TEST(service_of("/a/b") == "orders");
    BOOST_TEST(service_of("/ab/") == "route_unknown");
    BOOST_TEST(service_of("/a/x", "SHOP.example:80") == "orders");
    BOOST_TEST(service_of("/a/x", "other.example") == "route_unknown");
}

// A node without a configuration must not respond with 404, because the route may exist.
BOOST_AUTO_TEST_CASE(requests_are_refused_as_starting_without_a_configuration)
{
    virtual_timer_service timers;
    host_policy policy(timers, 3s, [] { return std::nullopt; });
    const auto found = policy.match("GET", "/a/", "shop.example");
    BOOST_TEST((std::get<refusal>(found).reason == refusal_reason::starting));
    BOOST_TEST(!policy.keyed_requests_allowed());
}

// The distribution must follow the weights exactly, even over a small number of requests.
BOOST_FIXTURE_TEST_CASE(a_split_follows_its_weights_exactly, policy_fixture)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i)
        ++counts[service_of("/s/x")];
    BOOST_TEST(counts["orders"] == 90);
    BOOST_TEST(counts["stores"] == 10);
}

// An earlier version must not replace the active configuration.
BOOST_FIXTURE_TEST_CASE(versions_never_decrease, policy_fixture)
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

// A key must not be accepted after a configuration without it has become active.
BOOST_FIXTURE_TEST_CASE(a_withdrawn_key_is_not_accepted, policy_fixture)
{
    BOOST_TEST(policy.organisation_of("key-2").value() == "school");
    BOOST_TEST(policy.authorises("key-3", "kiosk"));
    BOOST_TEST(!policy.authorises("key-3", "school"));
    host_configuration newer = make_configuration(6);
    newer.organisations[0].keys = {"key-1"};
    policy.apply(newer);
    BOOST_TEST(!policy.organisation_of("key-2").has_value());
}

// Keyed requests must be refused while the view may lack the withdrawal of a key.
BOOST_FIXTURE_TEST_CASE(keyed_requests_need_a_fresh_view, policy_fixture)
{
    timers.advance(3s);
    BOOST_TEST(policy.keyed_requests_allowed());
    timers.advance(1ms);
    BOOST_TEST(!policy.keyed_requests_allowed());
    confirmed_until = timers.now();
    BOOST_TEST(policy.keyed_requests_allowed());
    confirmed_until.reset();
    BOOST_TEST(!policy.keyed_requests_allowed());
}

// The importance of an organisation must override that of the route.
BOOST_FIXTURE_TEST_CASE(the_importance_of_an_organisation_overrides_the_route, policy_fixture)
{
    route rules;
    rules.level = importance::normal;
    BOOST_TEST((policy.level_of(rules, "school") == importance::critical));
    BOOST_TEST((policy.level_of(rules, "kiosk") == importance::normal));
}

} // namespace mulberry
