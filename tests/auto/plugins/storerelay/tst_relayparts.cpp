#include "fakes/virtualtimerservice.h"
#include "plugins/storerelay/relayedwatch.h"
#include "plugins/storerelay/relaymessages.h"
#include "plugins/storerelay/relayselector.h"
#include "plugins/storerelay/storecopy.h"

#include <memory>
#include <set>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

watch_event put(std::string key, std::int64_t revision)
{
    return {{std::move(key), "v", revision}, false};
}

watch_event removal(std::string key, std::int64_t revision)
{
    return {{std::move(key), {}, revision}, true};
}

/// Describes events as "key@revision", with "-" before deletions.
std::string describe(const std::optional<std::vector<watch_event>>& events)
{
    if (!events)
        return "unknown";
    std::string text;
    for (const watch_event& event : *events)
        text += fmt::format("{}{}@{} ", event.deleted ? "-" : "", event.entry.key, event.entry.mod_revision);
    return text;
}

std::vector<member> make_domain(std::size_t count, const std::string& domain)
{
    std::vector<member> nodes;
    for (std::size_t i = 0; i < count; ++i) {
        member node;
        node.id = {fmt::format("{}-{:03}", domain, i), 1};
        node.location = {domain, "south"};
        node.state = member_state::serving;
        nodes.push_back(std::move(node));
    }
    return nodes;
}

struct selector_fixture {
    virtual_timer_service timers;
    seeded_random_source random{1};

    relay_selector make(const std::string& name, const std::string& domain)
    {
        return {relay_selector_settings{}, name, {domain, "south"}, timers, random};
    }
};

/// A store whose watches report nothing; counts how many are opened and cancelled.
struct silent_store final : key_value_store {
    void get(std::string_view, std::function<void(leaf::result<range_result>)>) override {}
    void range(std::string_view, std::function<void(leaf::result<range_result>)>) override {}
    void put_if(std::string_view, std::int64_t, std::string, lease_id,
                std::function<void(leaf::result<put_result>)>) override
    {
    }
    void remove_if(std::string_view, std::int64_t, std::function<void(leaf::result<put_result>)>) override {}
    void grant_lease(duration, std::function<void(leaf::result<lease_id>)>) override {}
    void keep_alive(lease_id, std::function<void(leaf::result<void>)>) override {}
    watch_id watch(std::string_view, std::int64_t, watch_callback on_change) override
    {
        report = std::move(on_change);
        return static_cast<watch_id>(++opened);
    }
    void cancel_watch(watch_id) override { ++cancelled; }

    int opened = 0;
    int cancelled = 0;
    /// Callback of the watch that was opened last.
    watch_callback report;
};

/// A relay whose copy has a given age, and the store.
struct watch_fixture : relayed_watch_owner {
    std::optional<std::string> choose_relay() override
    {
        return is_relay_known ? std::optional<std::string>("relay") : std::nullopt;
    }
    void on_relay_failed(std::string_view, relay_failure) override { is_relay_known = false; }
    void on_direct_read_failed() override { is_relay_known = true; }
    peer_call_id poll_relay(const std::string&, const relay_poll&, peer_callback done) override
    {
        const relay_page page{page_status, 20, relay_age, 0ms, {}};
        timers.schedule(1ms, [page, done = std::move(done)] { done(encode(page)); });
        return 1;
    }
    void cancel_poll(peer_call_id) override {}
    key_value_store& direct_store() override { return store; }

    virtual_timer_service timers;
    silent_store store;
    bool is_relay_known = false;
    duration relay_age{0};
    relay_status page_status = relay_status::complete;
};

} // namespace

// Guards against an own read of the store that is given up for a relay with an old copy and begun again: a large entry
// was never received over a narrow link.
BOOST_FIXTURE_TEST_CASE(an_own_read_goes_on_until_a_relay_is_fresh, watch_fixture)
{
    relayed_watch_settings settings;
    settings.max_age = 1900ms;
    relay_age = 5s;
    const auto watch = std::make_shared<relayed_watch>(settings, timers, *this, "op/config", 11, [](auto) {});
    watch->step();
    timers.advance(10s);
    BOOST_TEST(store.opened == 1);
    BOOST_TEST(store.cancelled == 0);
    relay_age = 100ms;
    timers.advance(1s);
    BOOST_TEST(store.cancelled == 1);
    BOOST_TEST((timers.now() - watch->confirmed_until().value() < 1900ms));
}

// Guards against an exception in the event loop: one source has ended the watch, and the other one reports in the same
// turn, when the callback is gone already.
BOOST_FIXTURE_TEST_CASE(an_ended_watch_reports_nothing, watch_fixture)
{
    relayed_watch_settings settings;
    settings.max_age = 1900ms;
    int reports = 0;
    int ends = 0;
    const auto watch = std::make_shared<relayed_watch>(settings, timers, *this, "op/config", 11, [&](auto result) {
        reports += result ? 1 : 0;
        ends += result ? 0 : 1;
    });
    watch->step();
    page_status = relay_status::history_gone;
    timers.advance(5s);
    BOOST_TEST(ends == 1);
    store.report(std::vector<watch_event>{put("a", 30)});
    BOOST_TEST(reports == 0);
}

// Guards against changes that a poll misses or receives in the wrong order.
BOOST_AUTO_TEST_CASE(a_copy_lists_the_changes_after_a_revision)
{
    store_copy copy;
    BOOST_TEST(!copy.has_snapshot());
    copy.apply_snapshot(std::vector<store_entry>{{"a", "v", 3}, {"b", "v", 5}}, 10);
    copy.apply_changes(std::vector<watch_event>{put("b", 12), removal("a", 13), put("c", 14), removal("c", 15)});
    BOOST_TEST(describe(copy.changes_after(10)) == "b@12 -a@13 -c@15 ");
    BOOST_TEST(describe(copy.changes_after(12)) == "-a@13 -c@15 ");
    BOOST_TEST(describe(copy.changes_after(15)).empty());
    copy.apply_changes(std::vector<watch_event>{put("a", 16)});
    BOOST_TEST(describe(copy.changes_after(12)) == "-c@15 a@16 ");
    BOOST_TEST(describe(copy.all_entries()) == "a@16 b@12 ");
}

// Guards against a deletion that is never reported because it happened before the copy was read.
BOOST_AUTO_TEST_CASE(a_copy_does_not_know_deletions_before_its_snapshot)
{
    store_copy copy;
    copy.apply_snapshot(std::vector<store_entry>{{"a", "v", 3}}, 10);
    BOOST_TEST(describe(copy.changes_after(9)) == "unknown");
    copy.apply_changes(std::vector<watch_event>{put("a", 20), put("a", 19)});
    BOOST_TEST(describe(copy.changes_after(10)) == "a@20 ");
    BOOST_TEST(copy.revision() == 20);
}

// Guards against nodes of one failure domain that choose more relays than are needed, or one of another domain.
BOOST_FIXTURE_TEST_CASE(the_first_nodes_of_a_domain_are_its_relays, selector_fixture)
{
    std::vector<member> members = make_domain(40, "quay");
    for (const member& each : make_domain(3, "caudan"))
        members.push_back(each);
    std::set<std::string> relays;
    for (const member& each : members) {
        const auto relay = make(each.id.name, each.location.failure_domain).choose(members);
        if (!relay) {
            relays.insert(each.id.name);
            continue;
        }
        BOOST_TEST(relay->substr(0, 4) == each.id.name.substr(0, 4));
    }
    BOOST_TEST((relays == std::set<std::string>{"caudan-000", "quay-000", "quay-001", "quay-002"}));
}

// Guards against a failed or leaving relay that is asked again and again, and against one that is never used again.
BOOST_FIXTURE_TEST_CASE(failed_and_leaving_relays_are_passed_over, selector_fixture)
{
    std::vector<member> members = make_domain(3, "quay");
    relay_selector selector = make("quay-002", "quay");
    BOOST_TEST(selector.choose(members).value() == "quay-000");
    selector.on_failed("quay-000", relay_failure::no_response);
    BOOST_TEST(selector.choose(members).value() == "quay-001");
    members[1].state = member_state::leaving;
    BOOST_TEST(!selector.choose(members).has_value());
    timers.advance(5s);
    BOOST_TEST(selector.choose(members).value() == "quay-000");
    BOOST_TEST(!selector.choose({}).has_value());
    // A relay that has just started has a copy soon.
    selector.on_failed("quay-000", relay_failure::no_copy);
    timers.advance(1s);
    BOOST_TEST(selector.choose(members).value() == "quay-000");
}

// Guards against two nodes that receive the changes from each other, because neither lists itself yet.
BOOST_FIXTURE_TEST_CASE(a_node_that_is_not_listed_yet_may_be_a_relay, selector_fixture)
{
    std::vector<member> members = make_domain(2, "quay");
    members.erase(members.begin());
    BOOST_TEST(!make("quay-000", "quay").choose(members).has_value());
}

// Guards against malformed messages that are accepted, and against values that change on their way.
BOOST_AUTO_TEST_CASE(messages_are_decoded_or_rejected)
{
    const relay_poll poll{"op/config", 17, 500ms};
    const auto decoded_poll = decode_relay_poll(encode(poll));
    BOOST_REQUIRE(decoded_poll.has_value());
    BOOST_TEST(decoded_poll->prefix == "op/config");
    BOOST_TEST(decoded_poll->after_revision == 17);
    BOOST_TEST((decoded_poll->wait == 500ms));
    BOOST_TEST(!decode_relay_poll(encode(relay_poll{"p", -1, 0ms})).has_value());
    BOOST_TEST(!decode_relay_poll(encode(relay_poll{"p", 1, -1ms})).has_value());
    relay_page page{relay_status::complete, 20, 30ms, 40ms, {put("a", 3), removal("b", 4)}, true};
    page.events.front().entry.value = std::string("\x00\xff", 2);
    const auto decoded_page = decode_relay_page(encode(page));
    BOOST_REQUIRE(decoded_page.has_value());
    BOOST_TEST(decoded_page->receiving);
    BOOST_TEST(describe(decoded_page->events) == "a@3 -b@4 ");
    BOOST_TEST((decoded_page->events.front().entry.value == std::string("\x00\xff", 2)));
    BOOST_TEST((decoded_page->age == 30ms));
    BOOST_TEST((decoded_page->held == 40ms));
    for (const relay_page& invalid :
         {relay_page{static_cast<relay_status>(0), 1, 0ms, 0ms, {}},
          relay_page{relay_status::complete, -1, 0ms, 0ms, {}}, relay_page{relay_status::complete, 1, -1ms, 0ms, {}},
          relay_page{relay_status::complete, 1, 0ms, -1ms, {}},
          relay_page{relay_status::complete, 1, 0ms, 0ms, {put("a", 0)}}})
        BOOST_TEST(!decode_relay_page(encode(invalid)).has_value());
    seeded_random_source random(3);
    for (int i = 0; i < 2000; ++i) {
        std::string bytes = encode(page);
        bytes[random.uniform(bytes.size())] = static_cast<char>(random.uniform(256));
        bytes.resize(random.uniform(bytes.size() + 1));
        decode_relay_page(bytes);
        decode_relay_poll(bytes);
    }
}

} // namespace mulberry
