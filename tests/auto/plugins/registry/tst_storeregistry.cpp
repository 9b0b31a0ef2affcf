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
    member result;
    result.id = {std::move(name), incarnation};
    result.service = "orders";
    result.address = "10.0.0.1:7000";
    result.location = {"quay", "south"};
    result.state = member_state::starting;
    return result;
}

/// A node with its own connection to the store, which can be faulty. The connection outlives a stopped node, because
/// calls to the store may still be pending.
struct node {
    faulty_store store;
    seeded_random_source random{3};
    std::unique_ptr<store_registry> owned_registry;
    store_registry& registry;

    node(memory_store& backing_store, virtual_timer_service& timers, const member& self)
        : store(backing_store, timers, random),
          owned_registry(std::make_unique<store_registry>(registry_settings{}, self, timers, random, random, store)),
          registry(*owned_registry)
    {
        registry.start();
    }

    void stop() { owned_registry.reset(); }

    void publish_serving_state(std::string instance)
    {
        member own = make_member("", 0);
        own.state = member_state::serving;
        own.instance = std::move(instance);
        own.slots = 140;
        registry.set_own_record(own);
    }
};

struct registry_fixture {
    virtual_timer_service timers;
    memory_store backing_store{timers};
    std::unique_ptr<node> first = start("node-1", 1);
    std::unique_ptr<node> second = start("node-2", 1);

    registry_fixture()
    {
        first->publish_serving_state("i-1");
        second->publish_serving_state("i-2");
        timers.advance(2s);
    }

    std::unique_ptr<node> start(const std::string& name, std::uint64_t incarnation)
    {
        return std::make_unique<node>(backing_store, timers, make_member(name, incarnation));
    }

    bool first_lists_second(member_state state) const
    {
        const member* listed = first->registry.find("node-2");
        return listed != nullptr && listed->state == state;
    }
};

} // namespace

// Guards against nodes that never find each other or don't have the same secret.
BOOST_FIXTURE_TEST_CASE(nodes_find_each_other_and_share_a_secret, registry_fixture)
{
    BOOST_TEST(first_lists_second(member_state::serving));
    BOOST_TEST(second->registry.members_of("orders").size() == 2U);
    BOOST_TEST(!first->registry.fleet_secret().empty());
    BOOST_TEST(first->registry.fleet_secret() == second->registry.fleet_secret());
}

// Guards against a lost node that is still used long after its loss, and against a node that is removed after the first
// missed renewal of its lease.
BOOST_FIXTURE_TEST_CASE(a_lost_node_is_removed_after_lease_and_grace_period, registry_fixture)
{
    second->stop();
    timers.advance(6s);
    BOOST_TEST(first_lists_second(member_state::serving));
    timers.advance(4s);
    BOOST_TEST(first->registry.find("node-2") == nullptr);
}

// Guards against new work being sent to a node that has announced that it leaves.
BOOST_FIXTURE_TEST_CASE(a_leaving_node_is_removed_at_once, registry_fixture)
{
    second->registry.leave();
    timers.advance(100ms);
    BOOST_TEST(first->registry.find("node-2") == nullptr);
}

// Guards against an empty list of nodes during an outage of the store, also when leases expire meanwhile.
BOOST_FIXTURE_TEST_CASE(nodes_stay_listed_during_a_store_outage, registry_fixture)
{
    store_faults faults;
    faults.down = true;
    first->store.set_faults(faults);
    second->store.set_faults(faults);
    timers.advance(60s);
    BOOST_TEST(first_lists_second(member_state::serving));
    first->store.set_faults({});
    second->store.set_faults({});
    timers.advance(2s);
    BOOST_TEST(first_lists_second(member_state::serving));
    // After the absence grace period the node is listed only if it has published its entry again.
    timers.advance(10s);
    BOOST_TEST(first_lists_second(member_state::serving));
}

// Guards against retries that multiply during an outage: each failed renewal and publication started a further series
// of retries, and all calls to the store are billed.
BOOST_FIXTURE_TEST_CASE(calls_during_an_outage_do_not_multiply, registry_fixture)
{
    constexpr std::uint64_t outage_s = 60;
    // One lease call, one write and one read of the entries per second, with a margin for the first, shorter delays.
    constexpr std::uint64_t max_calls = 4 * outage_s;
    store_faults faults;
    faults.down = true;
    second->store.set_faults(faults);
    const std::uint64_t calls_before = second->store.calls();
    timers.advance(std::chrono::seconds(outage_s));
    BOOST_TEST(second->store.calls() - calls_before <= max_calls);
}

// Guards against a node that leaves but stays listed because the write of its state failed once.
BOOST_FIXTURE_TEST_CASE(a_failed_write_of_the_leave_is_repeated, registry_fixture)
{
    store_faults faults;
    faults.down = true;
    second->store.set_faults(faults);
    second->registry.leave();
    timers.advance(100ms);
    second->store.set_faults({});
    timers.advance(1s);
    BOOST_TEST(first->registry.find("node-2") == nullptr);
}

// Guards against a process that ends with an exception because a name in the entry is not valid UTF-8.
BOOST_AUTO_TEST_CASE(an_entry_with_invalid_utf8_is_encoded)
{
    member node = make_member("node-9", 1);
    node.instance = "i-\xff\xfe";
    BOOST_TEST(decode_registry_entry("node-9", encode_registry_entry(node)).has_value());
}

// Guards against an own entry that is not updated after writes that took effect but whose responses were lost.
BOOST_FIXTURE_TEST_CASE(entry_is_updated_after_lost_responses_to_writes, registry_fixture)
{
    store_faults faults;
    faults.lost_response = 0.7;
    second->store.set_faults(faults);
    member own = make_member("", 0);
    own.state = member_state::leaving;
    second->registry.set_own_record(own);
    timers.advance(10s);
    BOOST_TEST(first_lists_second(member_state::leaving));
}

// Guards against a restarted node that is not used until the next announcement of its upstream.
BOOST_FIXTURE_TEST_CASE(a_restarted_node_receives_the_entry_of_its_earlier_run, registry_fixture)
{
    second->stop();
    timers.advance(1s);
    auto restarted = std::make_unique<node>(backing_store, timers, make_member("node-2", 2));
    std::string earlier_instance;
    restarted->registry.on_earlier_run([&](const member& earlier) { earlier_instance = earlier.instance; });
    timers.advance(1s);
    BOOST_TEST(earlier_instance == "i-2");
    BOOST_TEST(first->registry.find("node-2")->id.incarnation == 2U);
}

// Guards against invalid entries that prevent the valid ones from being read.
BOOST_FIXTURE_TEST_CASE(invalid_entries_are_ignored, registry_fixture)
{
    for (const char* value : {"", "[]", "{\"service\":7}", "{\"incarnation\":-1}", "\xff\xfe"}) {
        BOOST_TEST(!decode_registry_entry("node-9", value).has_value());
    }
    const std::string valid = encode_registry_entry(make_member("node-9", 1));
    BOOST_TEST(decode_registry_entry("node-9", valid).has_value());
    const auto starting = static_cast<std::uint64_t>(member_state::starting);
    const std::string state = "\"state\":" + std::to_string(starting);
    const std::string deep(std::size_t{1} << 20, '[');
    const std::vector<std::pair<std::string, std::string>> table{
        {"10.0.0.1:7000", "10.0.0.1:70000"},
        {"10.0.0.1:7000", "10.0.0.1:0"},
        {"10.0.0.1:7000", "10.0.0.1"},
        {"10.0.0.1:7000", "some-host:7000"},
        {"10.0.0.1:7000", "10.0.0.1:-7000"},
        {state, "\"state\":429496729600000000000000000000"},
        {state, "\"state\":" + std::to_string((std::uint64_t{1} << 32) + starting)},
        {"\"incarnation\":", "\"incarnation\":1e999,\"x\":"},
        {"\"incarnation\":", "\"x\":" + deep + ",\"incarnation\":"},
    };
    for (const auto& [from, to] : table) {
        std::string value = valid;
        value.replace(value.find(from), from.size(), to);
        BOOST_TEST(!decode_registry_entry("node-9", value).has_value(), to.substr(0, 60));
    }
    backing_store.put_if("mulberry/members/node-9", 0, "garbage", 0, [](leaf::result<put_result>) {});
    timers.advance(1s);
    BOOST_TEST(first->registry.find("node-9") == nullptr);
    BOOST_TEST(first_lists_second(member_state::serving));
}

// Guards against a node that writes its entry without end because other nodes would reject it.
BOOST_FIXTURE_TEST_CASE(an_own_entry_that_is_invalid_is_written_once, registry_fixture)
{
    member self = make_member("node-3", 1);
    self.address = "node-3";
    const node third(backing_store, timers, self);
    timers.advance(1s);
    const auto read_revision = [this] {
        std::int64_t revision = 0;
        backing_store.get("mulberry/members/node-3", [&](leaf::result<range_result> result) {
            revision = result && !result->entries.empty() ? result->entries.front().mod_revision : 0;
        });
        timers.advance(1ms);
        return revision;
    };
    const std::int64_t revision = read_revision();
    BOOST_TEST(revision > 0);
    timers.advance(1s);
    BOOST_TEST(read_revision() == revision);
}

// Guards against a node that is lost to others because another writer has replaced its entry.
BOOST_FIXTURE_TEST_CASE(a_replaced_own_entry_is_written_again, registry_fixture)
{
    const auto read_entry = [this] {
        store_entry entry;
        backing_store.get("mulberry/members/node-2", [&](leaf::result<range_result> result) {
            if (result && !result->entries.empty())
                entry = result->entries.front();
        });
        timers.advance(1ms);
        return entry;
    };
    const std::int64_t revision = read_entry().mod_revision;
    backing_store.put_if("mulberry/members/node-2", revision, std::string(1000, '['), 0,
                         [](leaf::result<put_result>) {});
    timers.advance(2s);
    BOOST_TEST(decode_registry_entry("node-2", read_entry().value).has_value());
    BOOST_TEST(first_lists_second(member_state::serving));
}

} // namespace mulberry
