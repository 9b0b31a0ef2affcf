#include "auto/plugins/pausablenode.h"
#include "fakes/fakecontrolnetwork.h"
#include "fakes/faultystore.h"
#include "fakes/virtualtimerservice.h"
#include "libs/base/randomsource.h"
#include "plugins/membership/memberchange.h"
#include "plugins/membership/membership.h"

#include <chrono>
#include <memory>
#include <set>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Records the names of all members that were reported in a state other than dead.
class listed_member_recorder final : public member_listener {
public:
    void on_member_changed(const member& changed) override
    {
        if (changed.state != member_state::dead)
            m_listed.insert(changed.id.name);
    }
    std::set<std::string> m_listed;
};

struct test_node {
    test_node(timer_service& base, membership_settings settings, random_source& random, control_link& link,
              key_value_store* store)
        : timers(base), service(std::move(settings), timers, random, link, store), handler(timers, service)
    {
        service.add_listener(recorder);
    }

    pausable_timers timers;
    membership service;
    pausable_handler handler;
    listed_member_recorder recorder;
};

class test_fleet {
public:
    explicit test_fleet(std::uint64_t seed) : random(seed), network(timers, random), backing_store(timers) {}

    static std::string name_of(int index) { return "vm-" + std::to_string(index); }

    void start(int index, std::uint64_t incarnation = 1, bool with_store = false)
    {
        membership_settings settings;
        settings.self.id = {name_of(index), incarnation};
        settings.self.service = "service-" + std::to_string(index % 3);
        settings.self.address = "10.0.0." + std::to_string(index) + ":7000";
        settings.self.location = {"domain-" + std::to_string(index % 2), "region"};
        if (!with_store)
            settings.seeds = {{name_of(0), "10.0.0.0:7000"}, {name_of(1), "10.0.0.1:7000"}};
        auto& store = stores.emplace_back(std::make_unique<faulty_store>(backing_store, timers, random));
        nodes[index] = std::make_unique<test_node>(timers, std::move(settings), random, network.link(name_of(index)),
                                                   with_store ? store.get() : nullptr);
        network.attach(name_of(index), control_channel::membership, &nodes[index]->handler);
        nodes[index]->service.set_own_state(member_state::serving);
    }

    void stop(int index)
    {
        network.attach(name_of(index), control_channel::membership, nullptr);
        nodes.erase(index);
    }

    void resume(int index)
    {
        nodes.at(index)->timers.resume();
        nodes.at(index)->handler.resume();
    }

    membership& at(int index) { return nodes.at(index)->service; }

    /// True if every running node lists exactly the running nodes, each with its current incarnation and state.
    bool converged()
    {
        for (auto& [index, node] : nodes) {
            if (node->service.members().size() != nodes.size())
                return false;
            for (auto& [other, expected] : nodes) {
                const member* listed = node->service.find(name_of(other));
                if (listed == nullptr || listed->id != expected->service.self().id ||
                    listed->state != expected->service.self().state)
                    return false;
            }
        }
        return true;
    }

    /// Advances the time until the condition is true or the limit has passed, and returns the elapsed time.
    template <typename Condition>
    duration time_until(Condition condition, duration limit)
    {
        const time_point begin = timers.now();
        while (!condition() && timers.now() - begin < limit)
            timers.advance(milliseconds(50));
        return timers.now() - begin;
    }

    seeded_random_source random;
    virtual_timer_service timers;
    fake_control_network network;
    memory_store backing_store;
    std::vector<std::unique_ptr<faulty_store>> stores;
    std::map<int, std::unique_ptr<test_node>> nodes;
};

struct fault_row {
    const char* name = nullptr;
    network_faults faults;
};

const fault_row fault_table[] = {
    {"none", {milliseconds(2), milliseconds(0), 0, 0}},
    {"slow and reordered", {milliseconds(20), milliseconds(60), 0, 0}},
    {"loss", {milliseconds(2), milliseconds(5), 0.1, 0}},
    {"loss and duplication", {milliseconds(2), milliseconds(40), 0.05, 0.2}},
};

} // namespace

// Guards against members that other nodes never list, and against healthy members that are declared dead, when messages
// are lost, delayed or duplicated.
BOOST_AUTO_TEST_CASE(fleet_converges_and_stays_converged_under_faults)
{
    for (const fault_row& row : fault_table) {
        // With 10% loss, healthy members were once declared dead with the seeds 1, 2 and 23.
        for (const std::uint64_t seed : {1, 2, 3, 23}) {
            BOOST_TEST_CONTEXT(row.name << ", seed " << seed)
            {
                test_fleet fleet(seed);
                fleet.network.set_faults(row.faults);
                for (int i = 0; i < 24; ++i)
                    fleet.start(i);
                BOOST_TEST((fleet.time_until([&] { return fleet.converged(); }, seconds(30)) < seconds(30)));
                int diverged = 0;
                for (int i = 0; i < 600; ++i) {
                    fleet.timers.advance(seconds(1));
                    diverged += fleet.converged() ? 0 : 1;
                }
                BOOST_TEST(diverged == 0);
                BOOST_TEST(fleet.at(5).members_of("service-1").size() == 8U);
            }
        }
    }
}

// Guards against calls being sent to a leaving member because nodes have not received its state. The state must arrive
// within seconds without a store, and also if messages are lost.
BOOST_AUTO_TEST_CASE(all_nodes_receive_the_leaving_state_within_seconds)
{
    for (const fault_row& row : fault_table) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            BOOST_TEST_CONTEXT(row.name << ", seed " << seed)
            {
                test_fleet fleet(seed);
                fleet.network.set_faults(row.faults);
                for (int i = 0; i < 32; ++i)
                    fleet.start(i);
                fleet.timers.advance(seconds(40));
                BOOST_REQUIRE(fleet.converged());
                fleet.at(7).set_own_state(member_state::leaving);
                const duration elapsed = fleet.time_until([&] { return fleet.converged(); }, seconds(10));
                BOOST_TEST((elapsed <= seconds(3)));
                fleet.at(7).set_own_state(member_state::dead);
                fleet.timers.advance(seconds(3));
                fleet.stop(7);
                BOOST_TEST(fleet.converged());
            }
        }
    }
}

// Guards against a lost node that stays in the list, and a restarted node that is mistaken for its earlier run.
BOOST_AUTO_TEST_CASE(lost_node_is_removed_and_its_successor_accepted)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        test_fleet fleet(seed);
        for (int i = 0; i < 24; ++i)
            fleet.start(i);
        fleet.timers.advance(seconds(30));
        fleet.stop(9);
        BOOST_TEST((fleet.time_until([&] { return fleet.converged(); }, seconds(60)) < seconds(20)));
        fleet.start(9, 2);
        BOOST_TEST((fleet.time_until([&] { return fleet.converged(); }, seconds(60)) < seconds(10)));
        BOOST_TEST(fleet.at(3).find("vm-9")->id.incarnation == 2U);
    }
}

// Guards against a node that considers itself joined after receiving a part of the table, or that never requests the
// table because its seeds are already members. Both occurred with the seeds 2, 5 and 23 of
// fleet_converges_and_stays_converged_under_faults.
BOOST_AUTO_TEST_CASE(early_messages_do_not_prevent_joining)
{
    for (const bool send_part_of_table : {false, true}) {
        test_fleet fleet(1);
        for (int i = 0; i < 40; ++i)
            fleet.start(i);
        fleet.timers.advance(seconds(60));
        BOOST_REQUIRE(fleet.converged());
        fleet.start(40);
        for (const int seed_node : {0, 1}) {
            const detail::member_change record{fleet.at(seed_node).self(), 2, detail::member_status::alive};
            membership_messages::membership_message message;
            message.set_sender_incarnation(1);
            message.set_sender_version(2);
            message.add_changes(detail::encode(record));
            if (send_part_of_table) {
                message.mutable_records()->add_buckets(7);
                detail::encode(record, *message.mutable_records()->add_records());
            }
            fleet.at(40).on_message(fleet.name_of(seed_node), message.SerializeAsString());
        }
        BOOST_TEST(!fleet.at(40).has_joined());
        BOOST_TEST((fleet.time_until([&] { return fleet.at(40).members().size() == 41; }, seconds(30)) < seconds(4)));
    }
}

// Guards against a healthy node that is removed because of a short pause, and against a node that sends removed members
// to others after a long pause.
BOOST_AUTO_TEST_CASE(paused_node_refutes_suspicion_and_does_not_restore_removed_members)
{
    struct row {
        duration pause;
        bool removes_member;
    };
    for (const row& parameters : {row{seconds(2), false}, row{seconds(30), true}, row{minutes(30), true}}) {
        test_fleet fleet(11);
        for (int i = 0; i < 12; ++i)
            fleet.start(i);
        fleet.timers.advance(seconds(30));
        fleet.nodes.at(4)->timers.pause();
        if (parameters.removes_member)
            fleet.stop(5);
        fleet.timers.advance(parameters.pause);
        for (auto& [index, node] : fleet.nodes)
            node->recorder.m_listed.clear();
        fleet.resume(4);
        BOOST_TEST((fleet.time_until([&] { return fleet.converged(); }, seconds(60)) < seconds(60)));
        for (auto& [index, node] : fleet.nodes)
            BOOST_TEST(!node->recorder.m_listed.contains("vm-5"));
    }
}

// Guards against removed members that are added again when a partition ends that lasted longer than the tombstones.
BOOST_AUTO_TEST_CASE(merge_after_partition_does_not_restore_removed_members)
{
    for (const duration length : {duration(minutes(1)), duration(minutes(9)), duration(minutes(60))}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            BOOST_TEST_CONTEXT(to_seconds(length) << " s, seed " << seed)
            {
                test_fleet fleet(seed);
                for (int i = 0; i < 20; ++i)
                    fleet.start(i);
                fleet.timers.advance(seconds(30));
                for (int i = 0; i < 20; i += 2)
                    fleet.network.set_group("vm-" + std::to_string(i), 1);
                fleet.timers.advance(length / 2);
                fleet.stop(4);
                fleet.stop(5);
                fleet.timers.advance(length / 2);
                for (auto& [index, node] : fleet.nodes)
                    node->recorder.m_listed.clear();
                for (int i = 0; i < 20; ++i)
                    fleet.network.set_group("vm-" + std::to_string(i), 0);
                BOOST_TEST((fleet.time_until([&] { return fleet.converged(); }, minutes(3)) < minutes(2)));
                for (auto& [index, node] : fleet.nodes) {
                    BOOST_TEST(!node->recorder.m_listed.contains("vm-4"));
                    BOOST_TEST(!node->recorder.m_listed.contains("vm-5"));
                }
            }
        }
    }
}

// Guards against a node that was isolated for longer than the lifetime of the tombstones and sends members to others
// that were removed in the meantime.
BOOST_AUTO_TEST_CASE(isolated_node_does_not_restore_removed_members)
{
    test_fleet fleet(3);
    for (int i = 0; i < 40; ++i)
        fleet.start(i);
    fleet.timers.advance(seconds(30));
    fleet.network.set_group("vm-20", 1);
    fleet.stop(21);
    fleet.timers.advance(minutes(15));
    for (auto& [index, node] : fleet.nodes)
        node->recorder.m_listed.clear();
    fleet.network.set_group("vm-20", 0);
    BOOST_TEST((fleet.time_until([&] { return fleet.converged(); }, minutes(3)) < minutes(2)));
    for (auto& [index, node] : fleet.nodes)
        BOOST_TEST(!node->recorder.m_listed.contains("vm-21"));
}

// Guards against two concurrent runs with the same name, which would both store idempotency records.
BOOST_AUTO_TEST_CASE(replaced_run_is_notified)
{
    test_fleet fleet(4);
    for (int i = 0; i < 6; ++i)
        fleet.start(i, 10);
    fleet.timers.advance(seconds(20));
    fleet.stop(3);
    std::uint64_t reported_incarnation = 0;
    fleet.start(3, 9);
    fleet.at(3).on_superseded([&](std::uint64_t incarnation) { reported_incarnation = incarnation; });
    fleet.timers.advance(seconds(5));
    BOOST_TEST(reported_incarnation == 10U);
}

// Guards against nodes without configured seeds that never find each other through the seeds in the store. Each failure
// domain publishes its own seeds, so that the loss of one domain doesn't remove them all.
BOOST_AUTO_TEST_CASE(nodes_find_each_other_through_store_seeds)
{
    test_fleet fleet(5);
    for (int i = 0; i < 10; ++i)
        fleet.start(i, 1, true);
    BOOST_TEST((fleet.time_until([&] { return fleet.converged(); }, minutes(30)) < minutes(20)));
    BOOST_TEST(fleet.at(8).address_of("vm-3").value() == "10.0.0.3:7000");
    BOOST_TEST(!fleet.at(8).address_of("vm-99").has_value());
}

// Guards against an outdated epoch of a member, which makes idempotency keys issued for it expire early.
BOOST_AUTO_TEST_CASE(all_nodes_have_the_epoch_after_one_probe_round)
{
    test_fleet fleet(6);
    for (int i = 0; i < 10; ++i)
        fleet.start(i);
    fleet.timers.advance(seconds(20));
    fleet.at(2).set_own_epoch(17);
    fleet.at(2).set_own_epoch(16);
    fleet.timers.advance(seconds(25));
    for (auto& [index, node] : fleet.nodes)
        BOOST_TEST(node->service.find("vm-2")->once_epoch == 17U);
}

// Guards against invalid payloads that crash a node or change its list of members.
BOOST_AUTO_TEST_CASE(invalid_payloads_change_nothing)
{
    test_fleet fleet(7);
    for (int i = 0; i < 5; ++i)
        fleet.start(i);
    fleet.timers.advance(seconds(20));
    seeded_random_source bytes(8);
    for (int i = 0; i < 20'000; ++i) {
        std::string payload(bytes.uniform(60), '\0');
        for (char& byte : payload)
            byte = static_cast<char>(bytes.next());
        fleet.at(0).on_message("vm-3", payload);
    }
    BOOST_TEST(fleet.at(0).members().size() == 5U);
    fleet.timers.advance(seconds(30));
    BOOST_TEST(fleet.converged());
}

// Guards against combinations of faults after which the lists of members still differ once the network is healthy
// again.
BOOST_AUTO_TEST_CASE(lists_become_equal_after_random_faults)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            test_fleet fleet(seed);
            std::uint64_t incarnation = 1;
            for (int i = 0; i < 16; ++i)
                fleet.start(i);
            fleet.timers.advance(seconds(20));
            fleet.network.set_faults({milliseconds(2), milliseconds(100), 0.1, 0.1});
            for (int step = 0; step < 40; ++step) {
                const int index = static_cast<int>(fleet.random.uniform(16));
                const bool running = fleet.nodes.contains(index);
                switch (fleet.random.uniform(6)) {
                case 0:
                    if (running && fleet.nodes.size() > 8)
                        fleet.stop(index);
                    break;
                case 1:
                    if (!running)
                        fleet.start(index, ++incarnation);
                    break;
                case 2:
                    fleet.network.set_group("vm-" + std::to_string(index), static_cast<int>(fleet.random.uniform(3)));
                    break;
                case 3:
                    if (running && !fleet.nodes.at(index)->timers.is_paused())
                        fleet.nodes.at(index)->timers.pause();
                    break;
                case 4:
                    if (running && fleet.nodes.at(index)->timers.is_paused())
                        fleet.resume(index);
                    break;
                default:
                    if (running)
                        fleet.at(index).set_own_state(member_state::leaving);
                }
                fleet.timers.advance(seconds(1 + static_cast<std::int64_t>(fleet.random.uniform(60))));
            }
            fleet.network.set_faults({milliseconds(2), milliseconds(0), 0, 0});
            for (int i = 0; i < 16; ++i)
                fleet.network.set_group("vm-" + std::to_string(i), 0);
            for (auto& [index, node] : fleet.nodes) {
                if (node->timers.is_paused())
                    fleet.resume(index);
            }
            BOOST_TEST((fleet.time_until([&] { return fleet.converged(); }, minutes(5)) < minutes(3)));
        }
    }
}

} // namespace mulberry
