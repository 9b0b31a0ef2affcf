#include "auto/platform/fakekvserver.h"

#include "app/sidecar/configurationfollower.h"
#include "platform/adapter.h"
#include "plugins/registry/storeregistry.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace mulberry::platform {

namespace {

using namespace std::chrono_literals;

member make_member(const std::string& name)
{
    member self;
    self.id = {name, 1};
    self.service = "orders";
    self.address = "10.0.0.1:7000";
    self.location = {"quay", "south"};
    self.state = member_state::serving;
    return self;
}

/// A node that follows the configuration and the list of nodes.
struct store_client {
    store_client(virtual_timer_service& timers, fake_kv_server& server, const std::string& name)
        : random(std::hash<std::string>()(name)), platform("s:1"), store(platform.make_store(server, timers)),
          registry({}, make_member(name), timers, random, random, *store),
          configuration(timers, random, *store, platform,
                        [this](const host_configuration& received) { version = std::max(version, received.version); })
    {
        configuration.start();
        registry.start();
    }

    seeded_random_source random;
    adapter platform;
    std::unique_ptr<key_value_store> store;
    store_registry registry;
    std::int64_t version = 0;
    configuration_follower configuration;
};

struct restore_fixture {
    virtual_timer_service timers;
    fake_kv_server server{timers};
    store_client first{timers, server, "node-1"};
    store_client second{timers, server, "node-2"};
    int version = 0;

    restore_fixture()
    {
        configure();
        timers.advance(3s);
    }

    void configure()
    {
        ++version;
        server.write("op/config",
                     fmt::format(R"({{"version":"r{}","routes":{{}},"services":{{}},"limits":{{}}}})", version));
    }

    bool have_current_version() const { return first.version == version && second.version == version; }
};

} // namespace

// Guards against a confirmed configuration that no node applies: after a restore the store gives out revisions again,
// and a change with an old number was taken for an old change.
BOOST_FIXTURE_TEST_CASE(configuration_after_a_restore_is_taken_for_an_old_one, restore_fixture)
{
    BOOST_TEST(have_current_version());
    server.take_copy();
    for (int i = 0; i < 5; ++i)
        configure();
    timers.advance(1s);
    BOOST_TEST(have_current_version());
    server.restore_copy(2s);
    configure();
    timers.advance(1500ms);
    BOOST_TEST(have_current_version());
    timers.advance(3s);
    configure();
    timers.advance(1s);
    BOOST_TEST(have_current_version());
}

// Guards against a watch that goes on from a revision that the restored store has given out again, and so never reports
// what was written up to it.
BOOST_FIXTURE_TEST_CASE(watch_skips_revisions_that_are_given_out_again, restore_fixture)
{
    server.take_copy();
    configure();
    timers.advance(1s);
    server.restore_copy(0s);
    // As many writes as were lost, so that the polls continue without an error.
    configure();
    timers.advance(2s);
    BOOST_TEST(have_current_version());
}

// Guards against a leaving upstream that is put back into service because the restored copy has it as serving.
BOOST_FIXTURE_TEST_CASE(restored_entry_replaces_a_newer_one, restore_fixture)
{
    server.take_copy();
    member leaving = make_member("node-2");
    leaving.state = member_state::leaving;
    second.registry.set_own_record(leaving);
    timers.advance(1s);
    BOOST_REQUIRE(first.registry.find("node-2") != nullptr);
    BOOST_TEST((first.registry.find("node-2")->state == member_state::leaving));
    server.restore_copy(500ms);
    for (int i = 0; i < 40; ++i) {
        timers.advance(100ms);
        BOOST_REQUIRE(first.registry.find("node-2") != nullptr);
        BOOST_TEST((first.registry.find("node-2")->state == member_state::leaving));
    }
}

// Guards against nodes that disappear because a restored store has neither their entries nor their leases.
BOOST_FIXTURE_TEST_CASE(entries_lost_with_a_restore_stay_lost, restore_fixture)
{
    server.take_copy();
    store_client third(timers, server, "node-3");
    timers.advance(2s);
    BOOST_REQUIRE(first.registry.find("node-3") != nullptr);
    server.restore_copy(500ms);
    for (int i = 0; i < 150; ++i) {
        timers.advance(100ms);
        BOOST_TEST((first.registry.find("node-3") != nullptr));
        BOOST_TEST((first.registry.find("node-2") != nullptr));
        BOOST_TEST((third.registry.find("node-1") != nullptr));
    }
    BOOST_TEST(!server.value_of("mulberry/members/node-3").empty());
}

// Guards against an entry that lives on the lease of another node, which the restored store has given out again.
BOOST_FIXTURE_TEST_CASE(lease_of_another_node_is_renewed, restore_fixture)
{
    server.take_copy();
    auto third = std::make_unique<store_client>(timers, server, "node-3");
    timers.advance(2s);
    server.restore_copy(100ms);
    store_client fourth(timers, server, "node-4"); // gets the number of the lease that node-3 had
    timers.advance(4s);
    third.reset();
    timers.advance(10s);
    BOOST_TEST((first.registry.find("node-3") == nullptr));
    BOOST_TEST((first.registry.find("node-4") != nullptr));
}

// Guards against a fleet whose nodes do not accept each other's connections any more: a node that starts after the
// secret has been lost would create another one.
BOOST_FIXTURE_TEST_CASE(lost_secret_is_replaced_by_another_one, restore_fixture)
{
    fake_kv_server fresh(timers);
    fresh.take_copy();
    store_client early(timers, fresh, "node-1");
    timers.advance(2s);
    const std::string secret = early.registry.fleet_secret();
    BOOST_TEST(!secret.empty());
    fresh.restore_copy(500ms);
    timers.advance(1s);
    store_client late(timers, fresh, "node-2");
    timers.advance(2s);
    BOOST_TEST(early.registry.fleet_secret() == secret);
    BOOST_TEST(late.registry.fleet_secret() == secret);
}

} // namespace mulberry::platform
