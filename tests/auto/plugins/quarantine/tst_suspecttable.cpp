#include "plugins/quarantine/suspecttable.h"

#include <algorithm>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

constexpr request_fingerprint crashing = 1;
constexpr request_fingerprint sound = 2;

struct table_fixture {
    detail::suspect_table table;
    time_point now{1h};

    bool add(request_fingerprint fingerprint, crash_id crash, bool is_isolated = false)
    {
        const bool is_new = table.add_crash({fingerprint, crash, is_isolated, now}, now);
        table.update_conclusions();
        return is_new;
    }

    /// Adds what another table knows of all its requests with several crashes.
    void merge(const detail::suspect_table& other)
    {
        for (const crash_report& report : other.reports_of_repeated(detail::suspect_table::max_suspects, now)) {
            for (const request_fingerprint fingerprint : report.suspects)
                add(fingerprint, report.id, fingerprint == report.isolated_suspect);
            for (const request_fingerprint fingerprint : report.cleared)
                table.add_cleared({fingerprint, report.id, false, now}, now);
        }
    }
};

} // namespace

// Guards against a conclusion from fewer crashes, or from one crash that is reported several times.
BOOST_FIXTURE_TEST_CASE(three_different_crashes_are_conclusive, table_fixture)
{
    BOOST_TEST(add(crashing, 11));
    BOOST_TEST(!add(crashing, 11));
    BOOST_TEST(add(crashing, 12));
    BOOST_TEST(!add(crashing, 12));
    BOOST_TEST(!table.is_conclusive(crashing));
    BOOST_TEST(add(crashing, 13));
    BOOST_TEST(table.is_conclusive(crashing));
}

// Guards against blaming many requests when upstreams crash for reasons of their own, and against not finding the cause
// among them.
BOOST_FIXTURE_TEST_CASE(shared_crashes_are_conclusive_only_in_isolation, table_fixture)
{
    for (crash_id crash = 11; crash < 15; ++crash) {
        for (request_fingerprint fingerprint = 1; fingerprint <= 20; ++fingerprint)
            table.add_crash({fingerprint, crash, false, now}, now);
        table.update_conclusions();
    }
    BOOST_TEST(table.conclusive_count() == 0U);
    add(crashing, 20, true);
    BOOST_TEST(table.is_conclusive(crashing));
    BOOST_TEST(table.conclusive_count() == 1U);
}

// Guards against a cause that is no longer known once other requests have as many crashes.
BOOST_FIXTURE_TEST_CASE(conclusion_is_kept_when_others_share_the_crashes, table_fixture)
{
    for (crash_id crash = 11; crash < 14; ++crash)
        add(crashing, crash);
    for (crash_id crash = 11; crash < 14; ++crash)
        add(sound, crash);
    BOOST_TEST(table.is_conclusive(crashing));
    BOOST_TEST(!table.is_conclusive(sound));
}

// Guards against a cleared request that is blamed for the crashes before, also if the reports arrive in another order.
BOOST_FIXTURE_TEST_CASE(cleared_request_is_not_blamed_for_earlier_crashes, table_fixture)
{
    table.add_cleared({sound, 12, false, now}, now);
    for (crash_id crash = 11; crash < 14; ++crash)
        add(sound, crash);
    BOOST_TEST(table.crash_count(sound) == 2U);
    BOOST_TEST(table.clear(sound));
    BOOST_TEST(!table.clear(sound));
    BOOST_TEST(table.crash_count(sound) == 0U);
    BOOST_TEST(!add(sound, 13));
    BOOST_TEST(table.crash_count(sound) == 0U);
    for (crash_id crash = 21; crash < 24; ++crash)
        add(sound, crash);
    BOOST_TEST(table.is_conclusive(sound));
}

// Guards against tables that differ after they have exchanged their reports.
BOOST_FIXTURE_TEST_CASE(merged_tables_are_equal, table_fixture)
{
    table_fixture other;
    for (crash_id crash = 11; crash < 13; ++crash)
        add(crashing, crash);
    for (crash_id crash = 13; crash < 15; ++crash)
        other.add(crashing, crash);
    add(sound, 11);
    add(sound, 12);
    other.add(sound, 11);
    other.add(sound, 12);
    other.table.clear(sound);
    BOOST_TEST(table.digest() != other.table.digest());
    merge(other.table);
    other.merge(table);
    BOOST_TEST(table.digest() == other.table.digest());
    BOOST_TEST(table.is_conclusive(crashing));
    BOOST_TEST(other.table.is_conclusive(crashing));
    BOOST_TEST(table.crash_count(sound) == 0U);
}

// Guards against memory that grows with the crashes of a large fleet, and against forgetting a cause because of them.
BOOST_FIXTURE_TEST_CASE(memory_is_bounded_and_causes_are_kept, table_fixture)
{
    for (crash_id crash = 11; crash < 14; ++crash)
        add(crashing, crash);
    for (request_fingerprint fingerprint = 100; fingerprint < 10'000; ++fingerprint)
        add(fingerprint, 1000 + fingerprint / 100);
    BOOST_TEST(table.size() <= detail::suspect_table::max_suspects);
    BOOST_TEST(table.is_conclusive(crashing));
}

// Guards against evidence that is kept for ever, and against a cause that is forgotten as soon as the rest.
BOOST_FIXTURE_TEST_CASE(old_crashes_are_forgotten, table_fixture)
{
    for (crash_id crash = 11; crash < 14; ++crash)
        add(crashing, crash);
    add(sound, 11);
    table.expire(now + 11min);
    BOOST_TEST(table.size() == 1U);
    BOOST_TEST(table.is_conclusive(crashing));
    table.expire(now + 61min);
    BOOST_TEST(table.size() == 0U);
}

} // namespace mulberry
