#include "fakes/faultystore.h"
#include "fakes/virtualtimerservice.h"
#include "plugins/registry/registryentry.h"
#include "plugins/registry/storeregistry.h"

#include <memory>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

member make_member(std::string name, std::uint64_t incarnation)
{
    member made;
    made.id = {std::move(name), incarnation};
    made.service = "orders";
    made.address = "10.0.0.1:7000";
    made.location = {"quay", "south"};
    made.state = member_state::starting;
    return made;
}

/// One node with its own way to the store. The store outlives a stopped node, as calls may be on their way.
struct node {
    faulty_store store;
    seeded_random_source random{3};
    std::unique_ptr<store_registry> running;
    store_registry& registry;

    node(memory_store& backing, virtual_timer_service& timers, const member& self)
        : store(backing, timers, random),
          running(std::make_unique<store_registry>(registry_settings{}, self, timers, random, random, store)),
          registry(*running)
    {
        registry.start();
    }

    void kill() { running.reset(); }

    void serve(std::string instance)
    {
        member own = make_member("", 0);
        own.state = member_state::serving;
        own.instance = std::move(instance);
        own.slots = 140;
        registry.set_own(own);
    }
};

struct registry_fixture {
    virtual_timer_service timers;
    memory_store backing{timers};
    std::unique_ptr<node> first = start("node-1", 1);
    std::unique_ptr<node> second = start("node-2", 1);

    registry_fixture()
    {
        first->serve("i-1");
        second->serve("i-2");
        timers.advance(2s);
    }

    std::unique_ptr<node> start(const std::string& name, std::uint64_t incarnation)
    {
        return std::make_unique<node>(backing, timers, make_member(name, incarnation));
    }

    bool first_sees_second(member_state state) const
    {
        const member* found = first->registry.find("node-2");
        return found != nullptr && found->state == state;
    }
};

} // namespace

// Guards against nodes that never find each other, or share no secret.
BOOST_FIXTURE_TEST_CASE(nodes_find_each_other_and_share_a_secret, registry_fixture)
{
    BOOST_TEST(first_sees_second(member_state::serving));
    BOOST_TEST(second->registry.members_of("orders").size() == 2U);
    BOOST_TEST(!first->registry.fleet_secret().empty());
    BOOST_TEST(first->registry.fleet_secret() == second->registry.fleet_secret());
}

// Guards against a lost node that is used for long, and against one that is dropped at the first missed renewal.
BOOST_FIXTURE_TEST_CASE(a_lost_node_is_dropped_after_lease_and_grace, registry_fixture)
{
    second->kill();
    timers.advance(6s);
    BOOST_TEST(first_sees_second(member_state::serving));
    timers.advance(4s);
    BOOST_TEST(first->registry.find("node-2") == nullptr);
}

// Guards against new work for a node that has said that it leaves.
BOOST_FIXTURE_TEST_CASE(a_node_that_leaves_is_dropped_at_once, registry_fixture)
{
    second->registry.leave();
    timers.advance(100ms);
    BOOST_TEST(first->registry.find("node-2") == nullptr);
}

// Guards against an outage of the store that empties the list of nodes, also when leases lapse meanwhile.
BOOST_FIXTURE_TEST_CASE(nodes_stay_known_while_the_store_is_away, registry_fixture)
{
    store_faults faults;
    faults.down = true;
    first->store.set_faults(faults);
    second->store.set_faults(faults);
    timers.advance(60s);
    BOOST_TEST(first_sees_second(member_state::serving));
    first->store.set_faults({});
    second->store.set_faults({});
    timers.advance(2s);
    BOOST_TEST(first_sees_second(member_state::serving));
    // Beyond the grace the entry is there only if the node has published it again.
    timers.advance(10s);
    BOOST_TEST(first_sees_second(member_state::serving));
}

// Guards against an own entry that is not written again after lost answers to writes that took effect.
BOOST_FIXTURE_TEST_CASE(lost_answers_of_writes_are_resolved, registry_fixture)
{
    store_faults faults;
    faults.lost_answer = 0.7;
    second->store.set_faults(faults);
    member own = make_member("", 0);
    own.state = member_state::leaving;
    second->registry.set_own(own);
    timers.advance(10s);
    BOOST_TEST(first_sees_second(member_state::leaving));
}

// Guards against a restarted node that waits for its upstream's next announcement before it is used.
BOOST_FIXTURE_TEST_CASE(a_restarted_node_hears_of_its_earlier_run, registry_fixture)
{
    second->kill();
    timers.advance(1s);
    auto again = std::make_unique<node>(backing, timers, make_member("node-2", 2));
    std::string adopted;
    again->registry.on_earlier_run([&](const member& earlier) { adopted = earlier.instance; });
    timers.advance(1s);
    BOOST_TEST(adopted == "i-2");
    BOOST_TEST(first->registry.find("node-2")->id.incarnation == 2U);
}

// Guards against entries of other writers that break the reading of the rest.
BOOST_FIXTURE_TEST_CASE(unreadable_entries_name_no_node, registry_fixture)
{
    for (const char* value : {"", "[]", "{\"service\":7}", "{\"incarnation\":-1}", "\xff\xfe"}) {
        BOOST_TEST(!decode_registry_entry("node-9", value).has_value());
    }
    backing.put_if("mulberry/members/node-9", 0, "garbage", 0, [](leaf::result<put_result>) {});
    timers.advance(1s);
    BOOST_TEST(first->registry.find("node-9") == nullptr);
    BOOST_TEST(first_sees_second(member_state::serving));
}

} // namespace mulberry
