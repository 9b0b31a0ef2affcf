#include "fakes/virtualtimerservice.h"
#include "libs/base/invariant.h"
#include "plugins/idempotency/idempotencytable.h"

#include <array>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

const node_id owner_node{"orders-1", 7};

struct table_fixture {
    virtual_timer_service timers;
    seeded_random_source random{3};
    idempotency_settings settings;
    idempotency_table table{settings, owner_node, timers};
    request_identity request{"school-band", "POST", "/orders/new", "ten flutes"};

    idempotency_key new_key() { return make_idempotency_key(owner_node, table.epoch(), random); }

    idempotency_record_id start(const idempotency_key& key)
    {
        const idempotency_decision decision = table.begin(key, request);
        BOOST_REQUIRE(std::holds_alternative<run_permission>(decision));
        return std::get<run_permission>(decision).record;
    }

    refusal refused(const idempotency_key& key, const request_identity& other_request)
    {
        const idempotency_decision decision = table.begin(key, other_request);
        BOOST_REQUIRE(std::holds_alternative<refusal>(decision));
        return std::get<refusal>(decision);
    }
};

} // namespace

// Guards against two valid spellings of one key, which would be treated as two keys.
BOOST_AUTO_TEST_CASE(key_has_one_spelling)
{
    const std::string nonce(32, 'a');
    const std::string valid_text = "v1.orders-1.7.12." + nonce;
    BOOST_REQUIRE(parse_idempotency_key(valid_text).has_value());
    BOOST_TEST(to_string(*parse_idempotency_key(valid_text)) == valid_text);
    const std::array invalid_texts{std::string(),
                                   std::string("3f0c9a2e-7b52-4d1c-9a51-0c3f8a9b7d11"),
                                   "v1.orders-1.07.12." + nonce,
                                   "v1.orders-1.+7.12." + nonce,
                                   "v1.Orders-1.7.12." + nonce,
                                   "v1.orders-1.7.12." + std::string(32, 'A'),
                                   "v1.orders-1.7.12." + std::string(31, 'a'),
                                   "v1.orders-1.7.12." + nonce + " ",
                                   "v1..7.12." + nonce,
                                   "v1.orders-1.99999999999999999999.12." + nonce,
                                   "v2.orders-1.7.12." + nonce,
                                   "v1.orders-1.7.12.9." + nonce};
    for (const std::string& text : invalid_texts)
        BOOST_TEST(!parse_idempotency_key(text).has_value(), text);
}

// Guards against a second run during and after the first one.
BOOST_FIXTURE_TEST_CASE(retry_gets_the_stored_response, table_fixture)
{
    const idempotency_key key = new_key();
    const idempotency_record_id record = start(key);
    BOOST_TEST((refused(key, request).reason == refusal_reason::idempotency_running));
    table.complete(record, {201, {{"Content-Type", "text/plain"}}, "ticket 4"});
    const idempotency_decision retry_decision = table.begin(key, request);
    BOOST_REQUIRE(std::holds_alternative<response_replay>(retry_decision));
    BOOST_TEST(std::get<response_replay>(retry_decision).response.body == "ticket 4");
}

// Guards against a key that cannot be used again although its request certainly did not run.
BOOST_FIXTURE_TEST_CASE(abandoned_key_may_run_later, table_fixture)
{
    const idempotency_key key = new_key();
    table.abandon(start(key));
    BOOST_TEST(table.size() == 0U);
    BOOST_TEST(table.bytes() == 0U);
    start(key);
}

// Guards against a second run after the record was removed: the key must expire before its record is removed.
BOOST_FIXTURE_TEST_CASE(record_outlives_its_key, table_fixture)
{
    const idempotency_key key = new_key();
    table.complete(start(key), {});
    for (int minute = 0; minute < 70; ++minute) {
        timers.advance(std::chrono::minutes(1));
        const idempotency_decision decision = table.begin(key, request);
        BOOST_TEST(!std::holds_alternative<run_permission>(decision));
        table.abandon(start(new_key()));
    }
    BOOST_TEST((refused(key, request).reason == refusal_reason::idempotency_key_expired));
    BOOST_TEST((refused(key, request).result == outcome::unknown));
    BOOST_TEST(table.size() == 0U);
}

// Guards against running a request that another node or an earlier incarnation may have run, and against a key whose
// epoch has not begun.
BOOST_FIXTURE_TEST_CASE(keys_of_other_owners_and_epochs_are_refused, table_fixture)
{
    struct row {
        idempotency_key key{};
        refusal_reason reason{};
        outcome result{};
    };
    const std::string nonce(32, '0');
    const std::array rows{
        row{{{"orders-1", 6}, 1, nonce}, refusal_reason::idempotency_home_lost, outcome::unknown},
        row{{{"orders-2", 7}, 1, nonce}, refusal_reason::idempotency_home_lost, outcome::unknown},
        row{{owner_node, 2, nonce}, refusal_reason::idempotency_key_invalid, outcome::not_run},
        row{{owner_node, 0, nonce}, refusal_reason::idempotency_key_invalid, outcome::not_run},
    };
    for (const row& expected : rows) {
        const refusal actual = refused(expected.key, request);
        BOOST_TEST((actual.reason == expected.reason));
        BOOST_TEST((actual.result == expected.result));
    }
}

// Guards against returning a stored response to another organisation, or to another request of the same organisation.
BOOST_FIXTURE_TEST_CASE(key_is_bound_to_its_request, table_fixture)
{
    const idempotency_key key = new_key();
    table.complete(start(key), {200, {}, "secret"});
    request_identity other = request;
    other.organisation = "kiosk";
    BOOST_TEST((refused(key, other).reason == refusal_reason::idempotency_key_invalid));
    other = request;
    other.body = "eleven flutes";
    BOOST_TEST((refused(key, other).reason == refusal_reason::idempotency_key_invalid));
}

// Guards against unbounded memory use, and against a full table that removes a record to store a new one.
BOOST_FIXTURE_TEST_CASE(full_table_refuses_new_keys, table_fixture)
{
    settings.max_bytes = 1000;
    idempotency_table small_table(settings, owner_node, timers);
    const idempotency_key first = new_key();
    BOOST_REQUIRE(std::holds_alternative<run_permission>(small_table.begin(first, request)));
    refusal last;
    for (int i = 0; i < 10; ++i) {
        const idempotency_decision decision = small_table.begin(new_key(), request);
        if (std::holds_alternative<refusal>(decision))
            last = std::get<refusal>(decision);
    }
    BOOST_TEST((last == not_run_refusal(refusal_reason::idempotency_table_full, settings.epoch_length)));
    BOOST_TEST(small_table.bytes() <= settings.max_bytes);
    BOOST_TEST((std::get<refusal>(small_table.begin(first, request)).reason == refusal_reason::idempotency_running));
}

// Guards against a second run of a request whose response was too large to store.
BOOST_FIXTURE_TEST_CASE(oversized_response_leaves_a_record, table_fixture)
{
    const idempotency_key key = new_key();
    table.complete(start(key), {200, {}, std::string(settings.max_stored_response_bytes + 1, 'x')});
    BOOST_TEST((refused(key, request).reason == refusal_reason::idempotency_answer_dropped));
}

// Checks that the invariant is violated when a caller of the table reports a finished request as not run.
BOOST_FIXTURE_TEST_CASE(finished_request_cannot_be_abandoned, table_fixture)
{
    const auto before = invariant_monitor::instance().violations(invariant::non_idempotent_once);
    const idempotency_record_id record = start(new_key());
    table.complete(record, {});
    table.abandon(record);
    BOOST_TEST(invariant_monitor::instance().violations(invariant::non_idempotent_once) == before + 1);
    BOOST_TEST(table.size() == 1U);
}

} // namespace mulberry
