#include "fakes/faultystore.h"
#include "fakes/virtualtimerservice.h"
#include "libs/base/asyncerror.h"

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

struct store_fixture {
    virtual_timer_service timers;
    seeded_random_source random{1};
    memory_store backing{timers};
    faulty_store store{backing, timers, random};

    put_result put(std::int64_t expected, const std::string& value, lease_id lease = 0)
    {
        put_result result;
        backing.put_if("key", expected, value, lease, [&](leaf::result<put_result> outcome) { result = *outcome; });
        timers.run_due();
        return result;
    }
};

} // namespace

// Guards against a writer that overwrites another one's change without having read it.
BOOST_FIXTURE_TEST_CASE(failed_conditional_write_reports_the_current_entry, store_fixture)
{
    BOOST_TEST(put(0, "first").applied);
    const put_result second = put(0, "second");
    BOOST_TEST(!second.applied);
    BOOST_REQUIRE(second.current.has_value());
    BOOST_TEST(second.current->value == "first");
    BOOST_TEST(put(second.current->mod_revision, "second").applied);
}

// Guards against a watch that misses changes made between its start revision and its start.
BOOST_FIXTURE_TEST_CASE(watch_replays_from_its_revision, store_fixture)
{
    const put_result first = put(0, "first");
    put(first.revision, "second");
    std::vector<std::string> reported_values;
    backing.watch("k", first.revision + 1, [&](leaf::result<std::vector<watch_event>> events) {
        for (const watch_event& event : *events)
            reported_values.push_back(event.entry.value);
    });
    put(first.revision + 1, "third");
    BOOST_TEST(reported_values == (std::vector<std::string>{"second", "third"}), boost::test_tools::per_element());
}

// Guards against keys that remain after their lease has expired.
BOOST_FIXTURE_TEST_CASE(keys_expire_with_their_lease, store_fixture)
{
    lease_id lease = 0;
    backing.grant_lease(std::chrono::seconds(10), [&](leaf::result<lease_id> outcome) { lease = *outcome; });
    timers.run_due();
    put(0, "leased", lease);
    timers.advance(std::chrono::seconds(11));
    std::size_t entry_count = 1;
    backing.get("key", [&](leaf::result<range_result> outcome) { entry_count = outcome->entries.size(); });
    timers.run_due();
    BOOST_TEST(entry_count == 0U);
}

// Guards against a faulty_store that simulates a lost response without applying the write.
BOOST_FIXTURE_TEST_CASE(write_with_a_lost_response_is_applied, store_fixture)
{
    store.set_faults({.lost_response = 1});
    bool is_unknown_outcome = false;
    store.put_if("key", 0, "value", 0, [&](leaf::result<put_result> outcome) {
        is_unknown_outcome =
            !outcome && error_of(std::move(outcome), store_error::unavailable) == store_error::unknown_outcome;
    });
    timers.advance(std::chrono::seconds(1));
    BOOST_TEST(is_unknown_outcome);
    BOOST_TEST(backing.revision() == 2);
}

} // namespace mulberry
