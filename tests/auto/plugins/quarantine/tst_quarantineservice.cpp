#include "auto/plugins/fakememberdirectory.h"
#include "fakes/fakecontrolnetwork.h"
#include "fakes/faultystore.h"
#include "fakes/virtualtimerservice.h"
#include "libs/base/log.h"
#include "plugins/quarantine/quarantineservice.h"

#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

constexpr request_fingerprint crashing = 1;

struct service_fleet {
    virtual_timer_service timers;
    seeded_random_source random{9};
    memory_store backing{timers};
    faulty_store store{backing, timers, random};
    fake_control_network network{timers, random};
    fake_member_directory directory;
    std::vector<std::unique_ptr<quarantine_service>> nodes;

    explicit service_fleet(std::size_t count)
    {
        set_log_level(log_level::off);
        for (std::size_t i = 0; i < count; ++i) {
            member node;
            node.id = {name_of(i), 1};
            node.state = member_state::serving;
            directory.set(node);
        }
        for (std::size_t i = 0; i < count; ++i) {
            nodes.push_back(nullptr);
            start(i, 1);
        }
        timers.advance(11s); // beyond the time in which nodes ask others after their start
    }

    static std::string name_of(std::size_t index) { return "node-" + std::to_string(index); }

    void start(std::size_t index, std::uint64_t incarnation)
    {
        const std::string name = name_of(index);
        nodes[index].reset();
        nodes[index] = std::make_unique<quarantine_service>(node_id{name, incarnation}, timers, random, directory,
                                                            network.link(name), store);
        network.attach(name, control_channel::quarantine, nodes[index].get());
    }

    void crash(std::size_t index, const std::vector<request_fingerprint>& running)
    {
        nodes[index]->on_upstream_crashed(running);
    }

    std::size_t count_refusing(request_fingerprint fingerprint)
    {
        std::size_t count = 0;
        for (const auto& node : nodes)
            count += node->check(fingerprint) ? 1 : 0;
        return count;
    }

    std::uint64_t messages() const
    {
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            sum += network.messages(name_of(i));
        return sum;
    }
};

} // namespace

// Guards against nodes that don't learn of a crashing request although messages are lost.
BOOST_AUTO_TEST_CASE(all_nodes_refuse_the_crashing_request)
{
    service_fleet fleet(100);
    fleet.network.set_faults({.latency = 20ms, .jitter = 5ms, .loss = 0.2, .duplication = 0.1});
    for (std::size_t i = 0; i < 3; ++i)
        fleet.crash(i, {crashing, 100 + i});
    fleet.timers.advance(2s);
    BOOST_TEST(fleet.count_refusing(crashing) >= 95U);
    fleet.timers.advance(8s);
    BOOST_TEST(fleet.count_refusing(crashing) == 100U);
    BOOST_TEST(fleet.count_refusing(100) == 0U);
}

// Guards against a restarted node that doesn't know what the others know, also if all but one have restarted.
BOOST_AUTO_TEST_CASE(restarted_nodes_learn_of_the_crashing_request)
{
    service_fleet fleet(6);
    for (std::size_t i = 0; i < 3; ++i)
        fleet.crash(i, {crashing});
    fleet.timers.advance(1s);
    for (std::size_t i = 0; i < 5; ++i)
        fleet.start(i, 2);
    BOOST_TEST(fleet.count_refusing(crashing) == 1U);
    fleet.timers.advance(10s);
    BOOST_TEST(fleet.count_refusing(crashing) == 6U);
}

// Guards against a crashing request that is forgotten when all nodes restart, although the store was away when it was
// found and is away when they start.
BOOST_AUTO_TEST_CASE(crashing_request_is_kept_in_the_store)
{
    service_fleet fleet(6);
    fleet.store.set_faults({.down = true});
    for (std::size_t i = 0; i < 3; ++i)
        fleet.crash(i, {crashing});
    fleet.timers.advance(5s);
    fleet.store.set_faults({});
    fleet.timers.advance(2s);
    fleet.store.set_faults({.down = true});
    for (std::size_t i = 0; i < 6; ++i)
        fleet.start(i, 2);
    fleet.timers.advance(3s);
    BOOST_TEST(fleet.count_refusing(crashing) == 0U);
    fleet.store.set_faults({});
    fleet.timers.advance(2s);
    BOOST_TEST(fleet.count_refusing(crashing) == 6U);
}

// Guards against a comparison that is rejected because many requests with many crashes don't fit into one message.
BOOST_AUTO_TEST_CASE(many_suspects_are_compared_within_the_message_limit)
{
    service_fleet fleet(2);
    fleet.network.set_group(fleet.name_of(1), 1);
    std::vector<request_fingerprint> running;
    for (request_fingerprint fingerprint = 1; fingerprint <= 100; ++fingerprint)
        running.push_back(fingerprint);
    for (int crash = 0; crash < 8; ++crash)
        fleet.crash(0, running);
    fleet.timers.advance(1s);
    fleet.network.set_group(fleet.name_of(1), 0);
    fleet.timers.advance(5s);
    BOOST_TEST(fleet.nodes[1]->suspects() == 100U);
}

// Guards against a popular request that is refused because it was running at several crashes at the same moment: an
// upstream of any node has completed it shortly before, or completes it afterwards.
BOOST_AUTO_TEST_CASE(completed_request_is_not_refused)
{
    service_fleet fleet(20);
    fleet.nodes[7]->on_completed(crashing);
    fleet.timers.advance(5s);
    for (std::size_t i = 0; i < 4; ++i)
        fleet.crash(i, {crashing});
    fleet.timers.advance(2s);
    BOOST_TEST(fleet.count_refusing(crashing) == 0U);
    fleet.timers.advance(20s);
    for (std::size_t i = 0; i < 4; ++i)
        fleet.crash(i, {crashing});
    fleet.timers.advance(2s);
    BOOST_TEST(fleet.count_refusing(crashing) == 20U);
    fleet.nodes[7]->on_completed(crashing);
    fleet.timers.advance(3s);
    BOOST_TEST(fleet.count_refusing(crashing) == 0U);
}

// Guards against a request that is refused because its own node's upstream crashed several times soon after completing
// it.
BOOST_AUTO_TEST_CASE(request_completed_before_each_crash_is_not_refused)
{
    service_fleet fleet(2);
    for (int i = 0; i < 4; ++i) {
        fleet.nodes[0]->on_completed(crashing);
        fleet.timers.advance(1s);
        fleet.crash(0, {crashing});
    }
    BOOST_TEST(fleet.count_refusing(crashing) == 0U);
    BOOST_TEST(fleet.nodes[0]->suspects() == 0U);
}

// Guards against messages without end: nodes that know of no crash send none, and a crash of a full upstream causes a
// number of messages per node that doesn't depend on the size of the fleet.
BOOST_AUTO_TEST_CASE(number_of_messages_is_bounded)
{
    constexpr std::size_t fanout = 4;
    for (const std::size_t size : {10U, 100U}) {
        service_fleet fleet(size);
        const std::uint64_t before = fleet.messages();
        fleet.timers.advance(60s);
        BOOST_TEST(fleet.messages() == before);
        std::vector<request_fingerprint> running;
        for (request_fingerprint fingerprint = 1; fingerprint <= 500; ++fingerprint)
            running.push_back(fingerprint);
        fleet.crash(0, running);
        fleet.timers.advance(60s);
        // Each message is counted at its sender and at its receiver.
        BOOST_TEST(fleet.messages() - before <= 2 * fanout * 2 * size);
    }
}

// Guards against a node that ends, or trusts more than the limits allow, because of a malformed message.
BOOST_AUTO_TEST_CASE(malformed_messages_are_ignored)
{
    service_fleet fleet(1);
    quarantine_message message;
    message.reports.push_back({77, 1s, {crashing, 5}, {6}, 5});
    const std::string encoded = encode(message);
    for (std::size_t length = 0; length < encoded.size(); ++length)
        fleet.nodes[0]->on_message("node-9", std::string_view(encoded).substr(0, length));
    BOOST_TEST(fleet.nodes[0]->suspects() == 0U);
    seeded_random_source random(4);
    for (int i = 0; i < 2000; ++i) {
        std::string corrupted = encoded;
        corrupted[random.uniform(corrupted.size())] = static_cast<char>(random.next());
        fleet.nodes[0]->on_message("node-9", corrupted);
    }
    message.reports.front().suspects.resize(max_message_fingerprints + 1, 9);
    BOOST_TEST(!decode_quarantine_message(encode(message)));
    const auto decoded = decode_quarantine_message(encoded);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->reports.front().isolated_suspect == 5U);
}

} // namespace mulberry
