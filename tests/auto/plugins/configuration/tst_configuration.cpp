#include "auto/plugins/fakememberdirectory.h"
#include "auto/plugins/pausablenode.h"
#include "fakes/fakecontrolnetwork.h"
#include "fakes/faultystore.h"
#include "fakes/virtualtimerservice.h"
#include "libs/base/invariant.h"
#include "plugins/configuration/configrelay.h"
#include "plugins/configuration/configwriter.h"

#include <map>
#include <memory>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class no_bad_documents final : public document_validator {
public:
    std::optional<std::string> problem(std::string_view, std::string_view content) const override
    {
        if (content.find("bad") != std::string_view::npos)
            return "line 1: bad";
        return std::nullopt;
    }
};

struct test_node {
    test_node(config_relay_settings settings, timer_service& base, random_source& random, control_link& link,
              memory_store& backing, member_directory& members)
        : timers(base), store(backing, timers, random),
          relay(std::move(settings), timers, random, link, store, members, view), handler(timers, relay),
          writer(timers, random, store, relay, validator)
    {
    }

    pausable_timers timers;
    faulty_store store;
    config_view view;
    config_relay relay;
    pausable_handler handler;
    no_bad_documents validator;
    config_writer writer;
};

std::string name_of(int index)
{
    return "vm-" + std::to_string(index);
}

/// Nodes in four domains with a shared list of members.
class test_fleet {
public:
    explicit test_fleet(std::uint64_t seed, int size = 24) : random(seed), network(timers, random), backing(timers)
    {
        for (int i = 0; i < size; ++i)
            start(i);
    }

    static std::string domain_of(int index) { return "domain-" + std::to_string(index % 4); }

    void start(int index)
    {
        config_relay_settings settings;
        settings.node = name_of(index);
        settings.domain = domain_of(index);
        settings.domains = {"domain-0", "domain-1", "domain-2", "domain-3"};
        settings.max_reply_bytes = 20'000;
        set_state(index, member_state::serving);
        nodes[index] = std::make_unique<test_node>(std::move(settings), timers, random, network.link(name_of(index)),
                                                   backing, members);
        nodes[index]->store.set_faults(faults);
        network.attach(name_of(index), control_channel::configuration, &nodes[index]->handler);
    }

    /// Stops a node; the others go on seeing it as a member until it is removed.
    void kill(int index)
    {
        network.attach(name_of(index), control_channel::configuration, nullptr);
        nodes.erase(index);
    }

    void set_state(int index, member_state state)
    {
        member record;
        record.id = {name_of(index), 1};
        record.service = "service";
        record.location = {domain_of(index), "region"};
        record.state = state;
        members.set(record);
    }

    void resume(int index)
    {
        nodes.at(index)->timers.resume();
        nodes.at(index)->handler.resume();
    }

    void toggle_pause(int index)
    {
        if (nodes.at(index)->timers.paused())
            return resume(index);
        nodes.at(index)->timers.pause();
    }

    void set_store_faults(const store_faults& all)
    {
        faults = all;
        for (auto& [index, node] : nodes)
            node->store.set_faults(all);
    }

    void cut_domain(int domain, bool from_others, bool from_store)
    {
        for (auto& [index, node] : nodes) {
            if (index % 4 != domain)
                continue;
            network.set_group(name_of(index), from_others ? domain + 1 : 0);
            store_faults own = faults;
            own.down = from_store || faults.down;
            node->store.set_faults(own);
        }
    }

    int watcher(int domain, std::size_t which = 0)
    {
        for (auto& [index, node] : nodes) {
            const auto names = node->relay.watchers(domain_of(domain));
            return std::stoi(names.at(which).substr(3));
        }
        return -1;
    }

    /// Writes through a watcher and runs until it is answered; returns the revision, 0 for a conflict or an error.
    std::int64_t write(int through, const std::string& key, std::optional<std::string> content)
    {
        test_node& node = *nodes.at(through);
        const config_document* held = node.view.find(key);
        std::optional<std::int64_t> revision;
        node.writer.write({key, std::move(content), held == nullptr ? 0 : held->revision},
                          [&](auto result) { revision = result && result->accepted ? result->revision : 0; });
        time_until([&] { return revision.has_value(); }, seconds(15));
        return revision.value_or(0);
    }

    bool all_hold(const std::string& key, std::int64_t revision)
    {
        return std::ranges::all_of(nodes, [&](const auto& each) {
            const config_document* held = each.second->view.find(key);
            return held != nullptr && held->revision >= revision;
        });
    }

    bool all_allow_keyed()
    {
        return std::ranges::all_of(nodes, [](const auto& each) { return each.second->relay.keyed_requests_allowed(); });
    }

    template <typename Condition>
    duration time_until(Condition condition, duration limit)
    {
        const time_point begin = timers.now();
        while (!condition() && timers.now() - begin < limit)
            timers.advance(milliseconds(20));
        return timers.now() - begin;
    }

    seeded_random_source random;
    virtual_timer_service timers;
    fake_control_network network;
    memory_store backing;
    fake_member_directory members;
    store_faults faults;
    std::map<int, std::unique_ptr<test_node>> nodes;
};

struct fault_row {
    const char* name = nullptr;
    network_faults faults;
};

const fault_row fault_table[] = {
    {"none", {milliseconds(2), milliseconds(0), 0, 0}},
    {"far and reordered", {milliseconds(20), milliseconds(20), 0, 0}},
    {"loss and duplication", {milliseconds(2), milliseconds(30), 0.05, 0.1}},
};

std::uint64_t reverts()
{
    return invariant_monitor::instance().violations(invariant::revision_monotonic);
}

} // namespace

// Guards against a change that takes longer than 7 s, and a withdrawal that takes longer than 3 s, with a relay dead.
BOOST_AUTO_TEST_CASE(change_is_in_force_in_time_with_one_relay_dead)
{
    for (const fault_row& row : fault_table) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            BOOST_TEST_CONTEXT(row.name << ", seed " << seed)
            {
                test_fleet fleet(seed, 80);
                fleet.network.set_faults(row.faults);
                BOOST_TEST((fleet.time_until([&] { return fleet.all_allow_keyed(); }, seconds(20)) < seconds(10)));
                BOOST_REQUIRE(fleet.write(fleet.watcher(0), "documents/organisations", "one") > 0);
                fleet.timers.advance(seconds(10));
                fleet.kill(fleet.watcher(1, seed % 2));
                const std::int64_t revision = fleet.write(fleet.watcher(2), "documents/organisations", "two");
                BOOST_REQUIRE(revision > 0);
                const duration taken =
                    fleet.time_until([&] { return fleet.all_hold("documents/organisations", revision); }, seconds(20));
                BOOST_TEST((taken <= seconds(3)));
            }
        }
    }
}

// Guards against a view that grows old between two refreshes while everything works.
BOOST_AUTO_TEST_CASE(view_stays_fresh_without_faults)
{
    test_fleet fleet(3, 160);
    fleet.network.set_faults({milliseconds(20), milliseconds(5), 0, 0});
    fleet.timers.advance(seconds(10));
    int stale = 0;
    for (int i = 0; i < 1000; ++i) {
        fleet.timers.advance(milliseconds(100));
        stale += fleet.all_allow_keyed() ? 0 : 1;
    }
    BOOST_TEST(stale == 0);
}

// Guards against wrongful refusals while the store is down: under 1% over 10 minutes, and none needed while every
// domain is heard.
BOOST_AUTO_TEST_CASE(keyed_requests_go_on_while_the_store_is_down)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        test_fleet fleet(seed, 40);
        fleet.network.set_faults({milliseconds(2), milliseconds(20), 0.01, 0});
        fleet.timers.advance(seconds(10));
        fleet.set_store_faults({milliseconds(2), true, 0});
        std::uint64_t refused = 0;
        std::uint64_t asked = 0;
        for (int i = 0; i < 6000; ++i) {
            fleet.timers.advance(milliseconds(100));
            for (auto& [index, node] : fleet.nodes) {
                ++asked;
                refused += node->relay.keyed_requests_allowed() ? 0U : 1U;
            }
        }
        BOOST_TEST_MESSAGE("refused " << refused << " of " << asked);
        BOOST_TEST(refused * 100 < asked);
        fleet.set_store_faults({});
        BOOST_TEST((fleet.time_until([&] { return fleet.all_allow_keyed(); }, seconds(20)) < seconds(10)));
        BOOST_TEST(fleet.write(fleet.watcher(3), "documents/a", "after") > 0);
    }
}

// Guards against a cut-off domain that serves withdrawn keys, and against the cut stopping the other domains.
BOOST_AUTO_TEST_CASE(cut_off_domain_refuses_keyed_requests)
{
    test_fleet fleet(5);
    fleet.timers.advance(seconds(10));
    fleet.cut_domain(1, true, true);
    fleet.timers.advance(seconds(4));
    for (auto& [index, node] : fleet.nodes)
        BOOST_TEST(node->relay.keyed_requests_allowed() == (index % 4 != 1));
    // With the store down as well, nobody can know whether the silent domain reaches it.
    fleet.set_store_faults({milliseconds(2), true, 0});
    fleet.timers.advance(seconds(4));
    for (auto& [index, node] : fleet.nodes)
        BOOST_TEST(!node->relay.keyed_requests_allowed());
    fleet.cut_domain(1, false, false);
    fleet.timers.advance(seconds(4));
    BOOST_TEST(fleet.all_allow_keyed());
}

// Guards against a domain without the store that stops although the others keep it up to date.
BOOST_AUTO_TEST_CASE(domain_without_store_is_served_by_the_others)
{
    test_fleet fleet(6);
    fleet.timers.advance(seconds(10));
    fleet.cut_domain(1, false, true);
    int refused = 0;
    for (int i = 0; i < 600; ++i) {
        fleet.timers.advance(milliseconds(100));
        refused += fleet.all_allow_keyed() ? 0 : 1;
    }
    BOOST_TEST(refused * 100 < 600);
    const std::int64_t revision = fleet.write(fleet.watcher(2), "documents/a", "x");
    BOOST_TEST((fleet.time_until([&] { return fleet.all_hold("documents/a", revision); }, seconds(9)) < seconds(3)));
}

// Guards against a write that is reported lost although it took effect, or done twice.
BOOST_AUTO_TEST_CASE(lost_answers_are_resolved_by_reading_back)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            test_fleet fleet(seed, 8);
            fleet.timers.advance(seconds(5));
            fleet.set_store_faults({milliseconds(2), false, 0.7});
            const int through = fleet.watcher(static_cast<int>(seed % 4));
            const std::int64_t revision = fleet.write(through, "documents/a", "content");
            BOOST_REQUIRE(revision > 0);
            fleet.timers.advance(seconds(5));
            BOOST_TEST(fleet.all_hold("documents/a", revision));
            BOOST_TEST(fleet.nodes.begin()->second->view.find("documents/a")->revision == revision);
            BOOST_TEST(fleet.nodes.begin()->second->view.find("documents/a")->content == "content");
            BOOST_TEST(fleet.write(through, "documents/a", std::nullopt) > 0);
            fleet.timers.advance(seconds(5));
            for (auto& [index, node] : fleet.nodes)
                BOOST_TEST((node->view.find("documents/a") == nullptr));
        }
    }
}

// Guards against one operator's change being overwritten unseen by another's.
BOOST_AUTO_TEST_CASE(second_operator_gets_the_current_content)
{
    for (const double lost : {0.0, 0.5}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            test_fleet fleet(seed, 8);
            fleet.timers.advance(seconds(5));
            const std::int64_t base = fleet.write(fleet.watcher(0), "documents/a", "base");
            fleet.timers.advance(seconds(2));
            fleet.set_store_faults({milliseconds(2), false, lost});
            std::vector<write_result> results;
            for (const int domain : {1, 2}) {
                fleet.nodes.at(fleet.watcher(domain))
                    ->writer.write({"documents/a", "from " + std::to_string(domain), base},
                                   [&](auto result) { results.push_back(result.value()); });
            }
            fleet.timers.advance(seconds(15));
            BOOST_REQUIRE(results.size() == 2U);
            BOOST_TEST(results[0].accepted != results[1].accepted);
            const write_result& loser = results[0].accepted ? results[1] : results[0];
            const write_result& winner = results[0].accepted ? results[0] : results[1];
            BOOST_TEST(loser.current->revision == winner.revision);
            BOOST_TEST(loser.current->content.starts_with("from "));
        }
    }
}

// Guards against writes that bypass the check, the size limit or the watchers.
BOOST_AUTO_TEST_CASE(writes_are_refused_with_a_reason)
{
    struct row {
        int through = 0;
        write_request request;
        write_error expected{};
    };
    test_fleet fleet(2);
    fleet.timers.advance(seconds(5));
    const int watcher = fleet.watcher(0);
    int other = 0;
    while (fleet.nodes.at(other)->relay.is_watcher())
        ++other;
    const std::int64_t before = fleet.backing.revision();
    for (const row& each :
         {row{other, {"documents/a", "x", 0}, write_error::not_a_watcher},
          row{watcher, {"pools/a", "x", 0}, write_error::bad_key},
          row{watcher, {"documents/a", "bad", 0}, write_error::invalid},
          row{watcher, {"documents/a", std::string(max_value_bytes, 'x'), 0}, write_error::too_large}}) {
        std::optional<write_error> seen;
        fleet.nodes.at(each.through)->writer.write(each.request, [&](leaf::result<write_result> result) {
            seen = error_of(std::move(result), write_failure{}).error;
        });
        fleet.timers.advance(milliseconds(500));
        BOOST_TEST((seen == each.expected));
    }
    fleet.set_store_faults({milliseconds(2), true, 0});
    std::optional<write_error> seen;
    fleet.nodes.at(watcher)->writer.write({"documents/a", "x", 0}, [&](leaf::result<write_result> result) {
        seen = error_of(std::move(result), write_failure{}).error;
    });
    fleet.timers.advance(seconds(1));
    BOOST_TEST((seen == write_error::store_unavailable));
    fleet.set_store_faults({});
    fleet.timers.advance(seconds(5));
    BOOST_TEST(fleet.backing.revision() > before);
    BOOST_TEST((fleet.nodes.at(watcher)->view.find("documents/a") == nullptr));
}

// Guards against a fresh node that serves with an empty or old configuration.
BOOST_AUTO_TEST_CASE(fresh_node_is_ready_with_the_newest_revision_only)
{
    for (const bool store_down : {false, true}) {
        test_fleet fleet(7);
        fleet.timers.advance(seconds(5));
        const std::int64_t revision = fleet.write(fleet.watcher(0), "documents/a", "x");
        fleet.timers.advance(seconds(5));
        fleet.set_store_faults({milliseconds(2), store_down, 0});
        for (const int index : {fleet.watcher(0), 24, 25, 26}) {
            if (fleet.nodes.contains(index))
                fleet.kill(index);
            fleet.start(index);
            BOOST_TEST(!fleet.nodes.at(index)->relay.ready());
            const auto& node = *fleet.nodes.at(index);
            const duration taken = fleet.time_until([&] { return node.relay.ready(); }, seconds(10));
            BOOST_TEST((taken < seconds(5)));
            BOOST_REQUIRE((node.view.find("documents/a") != nullptr));
            BOOST_TEST(node.view.find("documents/a")->revision == revision);
        }
    }
    // Nothing can be heard when all start without the store.
    test_fleet cold(8, 0);
    cold.faults.down = true;
    for (int i = 0; i < 8; ++i)
        cold.start(i);
    cold.timers.advance(seconds(60));
    for (auto& [index, node] : cold.nodes)
        BOOST_TEST((!node->relay.ready() && !node->relay.keyed_requests_allowed()));
}

// Guards against replies without bound, and documents that are lost when a reply is cut.
BOOST_AUTO_TEST_CASE(large_sets_of_documents_arrive_in_bounded_replies)
{
    test_fleet fleet(9, 12);
    fleet.timers.advance(seconds(5));
    for (int i = 0; i < 30; ++i) {
        const std::string content(i == 7 ? 90'000 : 6'000, static_cast<char>('a' + i % 26));
        BOOST_REQUIRE(fleet.write(fleet.watcher(1), "documents/" + std::to_string(i), content) > 0);
    }
    fleet.timers.advance(seconds(2));
    fleet.start(12);
    const auto& node = *fleet.nodes.at(12);
    BOOST_TEST((fleet.time_until([&] { return node.relay.ready(); }, seconds(10)) < seconds(5)));
    BOOST_TEST(node.view.documents(documents_prefix).size() == 30U);
}

// Guards against an operator who believes that a change is in force where it is not.
BOOST_AUTO_TEST_CASE(unconfirmed_parts_are_named)
{
    test_fleet fleet(10);
    fleet.timers.advance(seconds(35));
    const int watcher = fleet.watcher(0);
    int silent = 0;
    while (fleet.nodes.at(silent)->relay.is_watcher())
        silent += 4;
    fleet.nodes.at(silent)->timers.pause();
    const std::int64_t revision = fleet.write(watcher, "documents/a", "x");
    fleet.timers.advance(seconds(5));
    unconfirmed_parts parts = fleet.nodes.at(watcher)->relay.unconfirmed(revision);
    BOOST_TEST(parts.nodes == std::vector<std::string>{name_of(silent)}, boost::test_tools::per_element());
    BOOST_TEST(parts.domains == std::vector<std::string>{"domain-0"}, boost::test_tools::per_element());
    fleet.resume(silent);
    fleet.timers.advance(seconds(5));
    parts = fleet.nodes.at(watcher)->relay.unconfirmed(revision);
    BOOST_TEST(parts.nodes.empty());
    BOOST_TEST(parts.domains.empty());
}

// Guards against payloads that crash a node or bring documents in.
BOOST_AUTO_TEST_CASE(damaged_payloads_change_nothing)
{
    test_fleet fleet(11, 8);
    fleet.timers.advance(seconds(5));
    seeded_random_source bytes(12);
    for (int i = 0; i < 20'000; ++i) {
        std::string payload(bytes.uniform(60), '\0');
        for (char& each : payload)
            each = static_cast<char>(bytes.next());
        fleet.nodes.at(0)->relay.on_message("vm-3", payload);
    }
    BOOST_TEST(fleet.nodes.at(0)->view.documents().empty());
    fleet.timers.advance(seconds(3));
    BOOST_TEST(fleet.all_allow_keyed());
}

// Guards against a node that runs keyed requests with a document withdrawn more than 3 s ago, whatever the faults, and
// against documents that go back; after the faults all nodes hold the same.
BOOST_AUTO_TEST_CASE(random_faults_never_show_an_old_document)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            const std::uint64_t reverts_before = reverts();
            test_fleet fleet(seed);
            fleet.timers.advance(seconds(10));
            std::vector<std::pair<time_point, std::int64_t>> accepted;
            int old_views = 0;
            for (int step = 0; step < 60; ++step) {
                const int index = static_cast<int>(fleet.random.uniform(24));
                const int domain = index % 4;
                const bool running = fleet.nodes.contains(index);
                switch (fleet.random.uniform(9)) {
                case 0:
                    fleet.cut_domain(domain, fleet.random.uniform(2) == 0, fleet.random.uniform(2) == 0);
                    break;
                case 1:
                    fleet.set_store_faults({milliseconds(2), fleet.random.uniform(2) == 0, fleet.random.unit() / 2});
                    break;
                case 2:
                    if (running)
                        fleet.kill(index);
                    break;
                case 3:
                    if (!running)
                        fleet.start(index);
                    break;
                case 4:
                    if (running && fleet.nodes.size() > 12) {
                        fleet.kill(index);
                        fleet.set_state(index, member_state::dead);
                    }
                    break;
                case 5:
                    if (running)
                        fleet.toggle_pause(index);
                    break;
                case 6:
                    fleet.network.set_faults({milliseconds(2), milliseconds(200), fleet.random.unit() / 5, 0.1});
                    break;
                default:
                    if (!running || !fleet.nodes.at(index)->relay.is_watcher())
                        break;
                    const config_document* held = fleet.nodes.at(index)->view.find("documents/organisations");
                    fleet.nodes.at(index)->writer.write(
                        {"documents/organisations", std::to_string(step), held == nullptr ? 0 : held->revision},
                        [&](leaf::result<write_result> result) {
                            if (result && result->accepted)
                                accepted.emplace_back(fleet.timers.now(), result->revision);
                        });
                }
                const int pieces = 1 + static_cast<int>(fleet.random.uniform(50));
                for (int i = 0; i < pieces; ++i) {
                    fleet.timers.advance(milliseconds(100));
                    std::int64_t needed = 0;
                    for (const auto& [at, revision] : accepted) {
                        if (fleet.timers.now() - at > seconds(3))
                            needed = std::max(needed, revision);
                    }
                    for (auto& [other, node] : fleet.nodes) {
                        const config_document* held = node->view.find("documents/organisations");
                        const bool old = needed > 0 && (held == nullptr || held->revision < needed);
                        old_views += old && !node->timers.paused() && node->relay.keyed_requests_allowed() ? 1 : 0;
                    }
                }
            }
            BOOST_TEST(old_views == 0);
            BOOST_TEST(reverts() == reverts_before);
            fleet.network.set_faults({milliseconds(2), milliseconds(0), 0, 0});
            fleet.set_store_faults({});
            for (auto& [index, node] : fleet.nodes) {
                if (node->timers.paused())
                    fleet.resume(index);
            }
            for (int i = 0; i < 24; ++i) {
                fleet.network.set_group(name_of(i), 0);
                if (!fleet.nodes.contains(i))
                    fleet.start(i);
            }
            BOOST_TEST((fleet.time_until([&] { return fleet.all_allow_keyed(); }, seconds(60)) < seconds(30)));
            const std::int64_t newest = accepted.empty() ? 0 : accepted.back().second;
            BOOST_TEST((newest == 0 || fleet.all_hold("documents/organisations", newest)));
        }
    }
}

} // namespace mulberry
