#include "fakes/virtualtimerservice.h"
#include "libs/base/invariant.h"
#include "plugins/configuration/configview.h"
#include "plugins/configuration/relaytree.h"
#include "plugins/configuration/viewage.h"

#include <set>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class change_recorder final : public config_listener {
public:
    void on_document_changed(const config_document& document) override { m_changes.push_back(document); }
    std::vector<config_document> m_changes;
};

} // namespace

// Guards against late or duplicate messages that restore an old or deleted document.
BOOST_AUTO_TEST_CASE(view_applies_only_higher_revisions)
{
    struct row {
        config_document document;
        bool applied = false;
    };
    config_view view;
    change_recorder recorder;
    view.add_listener(recorder);
    for (const row& each : {row{{"documents/a", "one", 5, false}, true}, row{{"documents/a", "one", 5, false}, false},
                            row{{"documents/a", "zero", 4, false}, false}, row{{"documents/a", "", 7, true}, true},
                            row{{"documents/a", "one", 5, false}, false}, row{{"documents/b", "two", 6, false}, true},
                            row{{"documents/a", "three", 9, false}, true}})
        BOOST_TEST(view.apply(each.document) == each.applied);
    BOOST_TEST(recorder.m_changes.size() == 4U);
    BOOST_TEST(view.find("documents/a")->content == "three");
    BOOST_TEST(view.newest_revision() == 9);
    BOOST_TEST(view.newer_than(5).size() == 2U);
    BOOST_TEST(view.newer_than(5).front()->key == "documents/b");
    view.apply({"documents/a", "", 10, true});
    BOOST_TEST((view.find("documents/a") == nullptr));
    BOOST_TEST(view.documents(documents_prefix).size() == 1U);
    view.set_complete(8);
    view.set_complete(3);
    BOOST_TEST(view.complete_revision() == 8);
}

// Shows that the invariant is violated when a table receives a lower revision, and when one revision has two contents.
BOOST_AUTO_TEST_CASE(invariant_detects_decreasing_revision)
{
    const auto violations = [] { return invariant_monitor::instance().violations(invariant::revision_monotonic); };
    const std::uint64_t before = violations();
    detail::document_table table;
    BOOST_TEST(table.put({"documents/a", "new", 5, false}));
    BOOST_TEST(table.put({"documents/a", "new", 5, false}));
    BOOST_TEST(violations() == before);
    BOOST_TEST(!table.put({"documents/a", "old", 4, false}));
    BOOST_TEST(violations() == before + 1);
    config_view view;
    view.apply({"documents/a", "one", 5, false});
    BOOST_TEST(!view.apply({"documents/a", "other", 5, false}));
    BOOST_TEST(violations() == before + 2);
    BOOST_TEST(table.find("documents/a")->content == "new");
}

// Guards against keyed requests that run on an old view, and against refusing them while no domain reaches the store,
// when no newer document can have been accepted.
BOOST_AUTO_TEST_CASE(keyed_requests_depend_on_view_age_and_statements)
{
    struct row {
        const char* name = nullptr;
        duration view_age{0};
        duration statement_age{0};
        std::optional<duration> reached_ago;
        std::int64_t known_revision = 0;
        bool all_domains_report = true;
        bool allowed = false;
    };
    const row table[] = {
        {"fresh view without statements", milliseconds(1900), seconds(60), seconds(0), 5, false, true},
        {"old view, one domain reaches the store", milliseconds(2100), seconds(0), milliseconds(200), 5, true, false},
        {"old view, no domain reaches the store", seconds(600), seconds(1), seconds(600), 5, true, true},
        {"store never reached", seconds(600), seconds(1), std::nullopt, 5, true, true},
        {"no statement from one domain", seconds(600), seconds(1), seconds(600), 5, false, false},
        {"one statement is too old", seconds(600), milliseconds(2100), seconds(600), 5, true, false},
        {"one domain has a newer revision", seconds(600), seconds(1), seconds(600), 6, true, false},
    };
    const std::vector<std::string> domains{"a", "b"};
    for (const row& each : table) {
        BOOST_TEST_CONTEXT(each.name)
        {
            virtual_timer_service timers;
            timers.advance(seconds(1000));
            view_age age(timers, domains);
            BOOST_TEST(!age.keyed_requests_allowed(5));
            age.set_complete_as_of(timers.now() - each.view_age);
            age.record_statement({"a", duration{0}, std::nullopt, 5, 0}, timers.now());
            if (each.all_domains_report)
                age.record_statement({"b", each.statement_age, each.reached_ago, each.known_revision, 0}, timers.now());
            age.record_statement({"nowhere", duration{0}, duration{0}, 99, 0}, timers.now());
            BOOST_TEST(age.keyed_requests_allowed(5) == each.allowed);
        }
    }
}

// Guards against an old statement that replaces a newer one, and against a maximum view age outside its bounds.
BOOST_AUTO_TEST_CASE(statements_and_view_limit_use_cautious_bounds)
{
    virtual_timer_service timers;
    timers.advance(seconds(100));
    const std::vector<std::string> domains{"a"};
    view_age age(timers, domains);
    age.record_statement({"a", seconds(1), seconds(30), 4, 3}, timers.now() - milliseconds(300));
    age.record_statement({"a", seconds(9), seconds(40), 2, 1}, timers.now());
    const domain_statement recorded = age.statements().front();
    BOOST_TEST((recorded.age == milliseconds(1300)));
    BOOST_TEST((*recorded.store_reached_ago == seconds(30)));
    BOOST_TEST(recorded.known_revision == 4);
    BOOST_TEST(recorded.confirmed_revision == 3);
    age.set_limit(seconds(0));
    BOOST_TEST((age.limit() == min_view_limit));
    age.set_limit(std::chrono::hours(5));
    BOOST_TEST((age.limit() == max_view_limit));
}

// Guards against nodes without a path to a watcher, and against nodes with more children than the fan-out allows.
BOOST_AUTO_TEST_CASE(tree_connects_every_node)
{
    for (const int size : {1, 2, 3, 18, 19, 200, 300}) {
        std::vector<member> members;
        for (int i = 0; i < size; ++i) {
            member record;
            record.id.name = "vm-" + std::to_string(i);
            record.location.failure_domain = "a";
            record.state = member_state::serving;
            members.push_back(record);
        }
        int watchers = 0;
        std::map<std::string, std::vector<std::string>> parents;
        std::map<std::string, std::vector<std::string>> children;
        std::map<std::string, std::size_t> places;
        for (const member& record : members) {
            detail::relay_tree tree(record.id.name, "a");
            tree.rebuild(members);
            watchers += tree.is_watcher() ? 1 : 0;
            BOOST_TEST(tree.parents().size() == (tree.is_watcher() ? 0U : 2U));
            BOOST_TEST(tree.children().size() <= 2 * detail::relay_fanout);
            BOOST_TEST(!tree.affected_by(record));
            parents[record.id.name] = tree.parents();
            children[record.id.name] = tree.children();
            places[record.id.name] = tree.place();
        }
        BOOST_TEST(watchers == std::min(size, 2));
        for (const auto& [name, names] : parents) {
            for (const std::string& parent : names) {
                BOOST_TEST(places[parent] < places[name]);
                BOOST_TEST(std::ranges::count(children[parent], name) == 1);
            }
        }
    }
}

// Guards against a leaving member that stays a watcher, and against a domain that looks cut off because its last member
// leaves.
BOOST_AUTO_TEST_CASE(leaving_member_watches_only_as_last_member_of_its_domain)
{
    std::vector<member> members(3);
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].id.name = "vm-" + std::to_string(i);
        members[i].location.failure_domain = "a";
        members[i].state = member_state::serving;
    }
    detail::relay_tree tree("vm-0", "a");
    tree.rebuild(members);
    const std::vector<std::string> before = tree.watchers_of("a");
    for (member& each : members) {
        if (each.id.name == before.front())
            each.state = member_state::leaving;
        BOOST_TEST(tree.affected_by(each) == (each.state == member_state::leaving));
    }
    tree.rebuild(members);
    const std::vector<std::string> after = tree.watchers_of("a");
    BOOST_TEST(std::ranges::count(after, before.front()) == 0);
    std::erase_if(members, [&](const member& each) { return each.id.name != before.front(); });
    tree.rebuild(members);
    BOOST_TEST(tree.watchers_of("a") == std::vector<std::string>{before.front()}, boost::test_tools::per_element());
    members.front().state = member_state::dead;
    BOOST_TEST(tree.affected_by(members.front()));
}

} // namespace mulberry
