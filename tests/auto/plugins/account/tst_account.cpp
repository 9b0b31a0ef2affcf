#include "auto/plugins/fakememberdirectory.h"
#include "fakes/fakecontrolnetwork.h"
#include "fakes/virtualtimerservice.h"
#include "plugins/account/decisionlog.h"
#include "plugins/account/recordstore.h"

#include <map>
#include <memory>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

wall_time time_at(int second)
{
    return wall_time(std::chrono::hours(480'000)) + seconds(second);
}

decision_record record_of(const std::string& request, int second, std::optional<refusal_reason> reason = std::nullopt)
{
    decision_record record;
    record.request_id = request;
    record.node = "vm-0";
    record.peer = "vm-5";
    record.organisation = "alpha";
    record.service = "orders";
    record.route = "GET /orders";
    record.level = importance::high;
    record.idempotent = true;
    record.reason = reason;
    record.attempts = reason ? 0 : 2;
    record.configuration_revision = 77;
    record.status = reason ? 503 : 200;
    record.result = reason ? outcome::not_run : outcome::ran;
    record.received = time_at(second);
    record.waited = milliseconds(3);
    record.took = milliseconds(20);
    return record;
}

class test_fleet {
public:
    explicit test_fleet(int size) : random(1), network(timers, random)
    {
        for (int i = 0; i < size; ++i) {
            member record;
            record.id = {name_of(i), 1};
            record.location = {"domain-" + std::to_string(i % 2), "region"};
            record.state = member_state::serving;
            members.set(record);
            decision_log_settings settings;
            settings.node = name_of(i);
            settings.max_bytes = 100'000;
            logs[i] = std::make_unique<decision_log>(settings, timers, network.link(name_of(i)), members);
            network.attach(name_of(i), control_channel::account, logs[i].get());
        }
    }

    static std::string name_of(int index) { return "vm-" + std::to_string(index); }

    explanation explain(int querying_node, const std::string& request)
    {
        std::optional<explanation> account;
        logs.at(querying_node)->explain(request, [&](explanation result) { account = std::move(result); });
        timers.advance(seconds(4));
        BOOST_REQUIRE(account.has_value());
        return *account;
    }

    seeded_random_source random;
    virtual_timer_service timers;
    fake_control_network network;
    fake_member_directory members;
    std::map<int, std::unique_ptr<decision_log>> logs;
};

} // namespace

// Guards against fields that are lost or changed by the compact encoding.
BOOST_AUTO_TEST_CASE(records_survive_encoding)
{
    test_fleet fleet(1);
    decision_record full = record_of("request-1", 5, refusal_reason::queue_delay);
    full.fingerprint = 77;
    full.hop = 3;
    full.role = hop_role::guard;
    full.unknown = "whether the upstream finished";
    full.result = outcome::unknown;
    const decision_record empty = [] {
        decision_record record;
        record.request_id = "request-2";
        return record;
    }();
    fleet.logs.at(0)->record(full);
    fleet.logs.at(0)->record(empty);
    BOOST_REQUIRE(fleet.logs.at(0)->find("request-1").size() == 1U);
    BOOST_TEST((fleet.logs.at(0)->find("request-1").front() == full));
    BOOST_TEST((fleet.logs.at(0)->find("request-2").front() == empty));
    BOOST_TEST(fleet.logs.at(0)->find("request-3").empty());
}

// Guards against unbounded growth of memory, and against evicting the records that explain a double charge before
// others.
BOOST_AUTO_TEST_CASE(records_of_possible_side_effects_are_evicted_last)
{
    for (const std::size_t bound : {std::size_t{20'000}, std::size_t{200'000}, std::size_t{2'000'000}}) {
        detail::record_store store(bound);
        const int total = static_cast<int>(bound / 10);
        for (int i = 0; i < total; ++i) {
            const std::string number = std::to_string(i);
            decision_record charge = record_of("charge-" + number, i);
            charge.idempotent = false;
            if (i % 50 == 0)
                store.add(charge);
            if (i % 10 == 0)
                store.add(record_of("refused-" + number, i, refusal_reason::queue_full));
            store.add(record_of("ran-" + number, i));
            BOOST_REQUIRE(store.bytes() <= bound);
        }
        BOOST_TEST(store.size() > 0U);
        BOOST_TEST(store.find("charge-0").size() == 1U);
        BOOST_TEST(store.find("ran-0").empty());
        BOOST_TEST(store.find("ran-" + std::to_string(total - 1)).size() == 1U);
        const auto lost = store.lost();
        BOOST_REQUIRE(!lost.empty());
        BOOST_TEST((lost.front().from == time_at(0)));
        BOOST_TEST(!lost.front().protected_lost);
        // Every record that is not in the store is counted as lost.
        std::uint64_t missing = 0;
        for (const lost_records& range : lost)
            missing += range.records;
        const int added = total + (total + 9) / 10 + (total + 49) / 50;
        BOOST_TEST(missing + store.size() == static_cast<std::uint64_t>(added));
    }
}

// Guards against unbounded memory for names, since callers can choose names.
BOOST_AUTO_TEST_CASE(name_memory_is_bounded)
{
    detail::record_store store(50'000);
    for (int i = 0; i < 5'000; ++i) {
        decision_record record = record_of("request-" + std::to_string(i), i);
        record.route = std::to_string(i) + std::string(300, 'r');
        record.unknown = std::to_string(i);
        store.add(record);
        BOOST_REQUIRE(store.bytes() <= 50'000U);
    }
    BOOST_TEST(store.find("request-4999").front().route == "(not kept)");
}

// Guards against a refusal at an entry that cannot be explained after the entry's node has failed.
BOOST_AUTO_TEST_CASE(refusal_is_explained_after_node_failure)
{
    test_fleet fleet(6);
    fleet.logs.at(0)->record(record_of("refused", 5, refusal_reason::rate_exceeded));
    fleet.timers.advance(seconds(2));
    fleet.network.attach("vm-0", control_channel::account, nullptr);
    explanation account = fleet.explain(3, "refused");
    BOOST_REQUIRE(account.records.size() == 1U);
    BOOST_TEST((account.records.front().reason == refusal_reason::rate_exceeded));
    BOOST_TEST(account.silent_nodes == std::vector<std::string>{"vm-0"}, boost::test_tools::per_element());
}

// Guards against copies that exceed their limit on control traffic, and against leaving out copies without reporting
// it.
BOOST_AUTO_TEST_CASE(copies_are_bounded_and_omissions_are_reported)
{
    test_fleet fleet(4);
    fleet.timers.advance(milliseconds(500));
    const std::uint64_t before = fleet.network.bytes("vm-0");
    for (int i = 0; i < 1'000; ++i)
        fleet.logs.at(0)->record(record_of("refused-" + std::to_string(i), 10, refusal_reason::queue_full));
    fleet.timers.advance(seconds(1));
    BOOST_TEST(fleet.network.bytes("vm-0") - before <= 2'500U);
    member dead_member;
    dead_member.id = {"vm-0", 1};
    dead_member.state = member_state::dead;
    fleet.network.attach("vm-0", control_channel::account, nullptr);
    fleet.members.set(dead_member);
    const explanation account = fleet.explain(2, "refused-999");
    BOOST_TEST(account.records.empty());
    BOOST_REQUIRE(account.lost.size() == 1U);
    BOOST_TEST(account.lost.front().node == "vm-0");
    BOOST_TEST(account.lost.front().records > 900U);
}

// Guards against a merged account with duplicate hops, in the wrong order, or without the list of what is missing.
BOOST_AUTO_TEST_CASE(explanation_merges_all_hops)
{
    test_fleet fleet(40);
    for (int hop = 0; hop < 3; ++hop) {
        for (const hop_role role : {hop_role::guard, hop_role::entry}) {
            decision_record record = record_of("tree", 100 + hop);
            record.hop = static_cast<std::uint32_t>(hop);
            record.role = role;
            record.node = test_fleet::name_of(2 * hop + (role == hop_role::guard ? 1 : 0));
            // Both nodes of a hop store both records.
            fleet.logs.at(2 * hop)->record(record);
            fleet.logs.at(2 * hop + 1)->record(record);
        }
    }
    for (int i = 0; i < 4'000; ++i) {
        fleet.logs.at(7)->record(record_of("other-" + std::to_string(i), 101));
        fleet.logs.at(8)->record(record_of("other-" + std::to_string(i), 9'000));
    }
    fleet.network.set_group("vm-9", 1);
    const explanation account = fleet.explain(20, "tree");
    BOOST_REQUIRE(account.records.size() == 6U);
    for (std::size_t i = 0; i < 6; ++i)
        BOOST_TEST(account.records[i].node == test_fleet::name_of(static_cast<int>(i)));
    BOOST_TEST(account.silent_nodes == std::vector<std::string>{"vm-9"}, boost::test_tools::per_element());
    BOOST_REQUIRE(account.lost.size() == 1U);
    BOOST_TEST(account.lost.front().node == "vm-7");
}

// Guards against a restarted node that reports no lost records although its earlier records are gone.
BOOST_AUTO_TEST_CASE(records_of_earlier_runs_are_reported_as_lost)
{
    test_fleet fleet(1);
    decision_log_settings settings;
    settings.node = "vm-0";
    settings.started = time_at(50);
    const decision_log restarted(settings, fleet.timers, fleet.network.link("vm-0"), fleet.members);
    BOOST_REQUIRE(restarted.lost().size() == 1U);
    BOOST_TEST((restarted.lost().front().until == time_at(50)));
}

// Guards against random payloads that crash a node, and against a peer that sends decisions in the name of another
// node.
BOOST_AUTO_TEST_CASE(malformed_and_forged_payloads_are_dropped)
{
    test_fleet fleet(3);
    seeded_random_source bytes(8);
    for (int i = 0; i < 20'000; ++i) {
        std::string payload(bytes.uniform(60), '\0');
        for (char& each : payload)
            each = static_cast<char>(bytes.next());
        fleet.logs.at(0)->on_message("vm-1", payload);
    }
    BOOST_TEST(fleet.logs.at(0)->size() == 0U);
    // vm-1 records a refusal that names vm-0 as its node; the receiver of the copy drops it.
    fleet.logs.at(1)->record(record_of("forged", 1, refusal_reason::queue_full));
    fleet.timers.advance(seconds(2));
    BOOST_TEST(fleet.logs.at(0)->size() + fleet.logs.at(2)->size() == 0U);
}

} // namespace mulberry
