#include "auto/libs/peer/peerfixture.h"

#include "libs/peer/peercontrollink.h"
#include "libs/peer/peerrouter.h"

#include <map>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

class address_table final : public address_lookup {
public:
    std::optional<std::string> find_address(std::string_view node_name) const override
    {
        const auto found = addresses.find(node_name);
        return found == addresses.end() ? std::nullopt : std::optional(found->second);
    }

    std::map<std::string, std::string, std::less<>> addresses;
};

class recording_handler final : public control_handler {
public:
    void on_message(std::string_view from, std::string_view payload) override
    {
        messages.push_back(std::string(from) + ">" + std::string(payload));
    }

    std::vector<std::string> messages;
};

struct link_fixture : peer_fixture {
    link_fixture()
    {
        router.add(std::string(peer_control_link::path_prefix), receiver);
        server.emplace(loop, authority.identity("server"), router, settings);
        table.addresses["server"] = "127.0.0.1:" + std::to_string(server->start("127.0.0.1", 0).value());
        table.addresses["gone"] = "127.0.0.1:1";
    }

    address_table table;
    peer_router router;
    peer_control_link sender{*client, table};
    peer_control_link receiver{*client, table};
};

} // namespace

// Guards against messages that are delivered on the wrong channel, have the wrong sender or are not counted.
BOOST_FIXTURE_TEST_CASE(messages_reach_the_handler_of_their_channel, link_fixture)
{
    recording_handler membership;
    recording_handler shares;
    receiver.attach(control_channel::membership, &membership);
    receiver.attach(control_channel::shares, &shares);
    sender.send("server", control_channel::membership, "one");
    sender.send("server", control_channel::shares, "second");
    run_until([&] { return membership.messages.size() == 1 && shares.messages.size() == 1; });
    BOOST_TEST(membership.messages[0] == "client>one");
    BOOST_TEST(shares.messages[0] == "client>second");
    const control_traffic sent = sender.traffic(control_channel::shares);
    const control_traffic received = receiver.traffic(control_channel::shares);
    BOOST_TEST(sent.sent_messages == 1U);
    BOOST_TEST(sent.sent_bytes == 6U);
    BOOST_TEST(received.received_messages == 1U);
    BOOST_TEST(received.received_bytes == 6U);
    BOOST_TEST(sender.traffic(control_channel::account).sent_messages == 0U);
}

// Guards against undeliverable messages that are not counted or block the sender.
BOOST_FIXTURE_TEST_CASE(undeliverable_messages_are_dropped_and_counted, link_fixture)
{
    recording_handler detached;
    receiver.attach(control_channel::account, &detached);
    receiver.attach(control_channel::account, nullptr);
    for (const char* node : {"unknown", "gone", "server"})
        sender.send(node, control_channel::account, "x");
    run_until([&] { return sender.traffic(control_channel::account).failed_messages == 3; });
    BOOST_TEST(sender.traffic(control_channel::account).sent_messages == 3U);
    BOOST_TEST(receiver.traffic(control_channel::account).received_messages == 0U);
    BOOST_TEST(detached.messages.empty());
}

} // namespace mulberry
