#include "fakes/virtualtimerservice.h"
#include "libs/base/invariant.h"
#include "plugins/once/onceledger.h"

#include <array>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

const node_id home{"orders-1", 7};

struct ledger_fixture {
    virtual_timer_service timers;
    seeded_random_source random{3};
    once_settings settings;
    once_ledger ledger{settings, home, timers};
    once_request request{"school-band", "POST", "/orders/new", "ten flutes"};

    idempotency_key new_key() { return make_idempotency_key(home, ledger.epoch(), random); }

    once_record_id start(const idempotency_key& key)
    {
        const once_decision decision = ledger.begin(key, request);
        BOOST_REQUIRE(std::holds_alternative<once_started>(decision));
        return std::get<once_started>(decision).record;
    }

    refusal refused(const idempotency_key& key, const once_request& with)
    {
        const once_decision decision = ledger.begin(key, with);
        BOOST_REQUIRE(std::holds_alternative<refusal>(decision));
        return std::get<refusal>(decision);
    }
};

} // namespace

// Guards against two spellings of one key, which would find two records.
BOOST_AUTO_TEST_CASE(key_has_one_spelling)
{
    const std::string nonce(32, 'a');
    const std::string good = "v1.orders-1.7.12." + nonce;
    BOOST_REQUIRE(parse_idempotency_key(good).has_value());
    BOOST_TEST(to_string(*parse_idempotency_key(good)) == good);
    const std::array bad{std::string(),
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
    for (const std::string& text : bad)
        BOOST_TEST(!parse_idempotency_key(text).has_value(), text);
}

// Guards against a second run while the first is in progress, and after it.
BOOST_FIXTURE_TEST_CASE(repeated_request_is_answered_from_the_record, ledger_fixture)
{
    const idempotency_key key = new_key();
    const once_record_id record = start(key);
    BOOST_TEST((refused(key, request).reason == refusal_reason::idempotency_running));
    ledger.complete(record, {201, {{"Content-Type", "text/plain"}}, "ticket 4"});
    const once_decision again = ledger.begin(key, request);
    BOOST_REQUIRE(std::holds_alternative<once_replayed>(again));
    BOOST_TEST(std::get<once_replayed>(again).answer.body == "ticket 4");
}

// Guards against a key that cannot be used after a refusal that was certainly not run.
BOOST_FIXTURE_TEST_CASE(abandoned_key_may_run_later, ledger_fixture)
{
    const idempotency_key key = new_key();
    ledger.abandon(start(key));
    BOOST_TEST(ledger.size() == 0U);
    BOOST_TEST(ledger.bytes() == 0U);
    start(key);
}

// Guards against a second run after the record was dropped: the key must have expired before its record.
BOOST_FIXTURE_TEST_CASE(record_outlives_its_key, ledger_fixture)
{
    const idempotency_key key = new_key();
    ledger.complete(start(key), {});
    for (int minute = 0; minute < 70; ++minute) {
        timers.advance(std::chrono::minutes(1));
        const once_decision decision = ledger.begin(key, request);
        BOOST_TEST(!std::holds_alternative<once_started>(decision));
        ledger.abandon(start(new_key()));
    }
    BOOST_TEST((refused(key, request).reason == refusal_reason::idempotency_key_expired));
    BOOST_TEST((refused(key, request).result == outcome::unknown));
    BOOST_TEST(ledger.size() == 0U);
}

// Guards against a replaced node that runs what its predecessor may have run, and against a key from the future.
BOOST_FIXTURE_TEST_CASE(foreign_keys_are_refused, ledger_fixture)
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
        row{{home, 2, nonce}, refusal_reason::idempotency_key_invalid, outcome::not_run},
        row{{home, 0, nonce}, refusal_reason::idempotency_key_invalid, outcome::not_run},
    };
    for (const row& expected : rows) {
        const refusal got = refused(expected.key, request);
        BOOST_TEST((got.reason == expected.reason));
        BOOST_TEST((got.result == expected.result));
    }
}

// Guards against an answer that reaches another organisation, or another request of the same organisation.
BOOST_FIXTURE_TEST_CASE(key_is_bound_to_its_request, ledger_fixture)
{
    const idempotency_key key = new_key();
    ledger.complete(start(key), {200, {}, "secret"});
    once_request other = request;
    other.organisation = "kiosk";
    BOOST_TEST((refused(key, other).reason == refusal_reason::idempotency_key_invalid));
    other = request;
    other.body = "eleven flutes";
    BOOST_TEST((refused(key, other).reason == refusal_reason::idempotency_key_invalid));
}

// Guards against unbounded memory, and against a full table that forgets a record to make room.
BOOST_FIXTURE_TEST_CASE(full_table_refuses_new_keys, ledger_fixture)
{
    settings.max_bytes = 1000;
    once_ledger small(settings, home, timers);
    const idempotency_key first = new_key();
    BOOST_REQUIRE(std::holds_alternative<once_started>(small.begin(first, request)));
    refusal last;
    for (int i = 0; i < 10; ++i) {
        const once_decision decision = small.begin(new_key(), request);
        if (std::holds_alternative<refusal>(decision))
            last = std::get<refusal>(decision);
    }
    BOOST_TEST((last == not_run(refusal_reason::idempotency_table_full, settings.epoch_length)));
    BOOST_TEST(small.bytes() <= settings.max_bytes);
    BOOST_TEST((std::get<refusal>(small.begin(first, request)).reason == refusal_reason::idempotency_running));
}

// Guards against an answer too large to keep that would let the request run again.
BOOST_FIXTURE_TEST_CASE(large_answer_leaves_a_record, ledger_fixture)
{
    const idempotency_key key = new_key();
    ledger.complete(start(key), {200, {}, std::string(settings.max_kept_answer_bytes + 1, 'x')});
    BOOST_TEST((refused(key, request).reason == refusal_reason::idempotency_answer_dropped));
}

// Shows that the invariant fires when a caller of the ledger reports a finished request as not run.
BOOST_FIXTURE_TEST_CASE(finished_request_cannot_be_abandoned, ledger_fixture)
{
    const auto before = invariant_monitor::instance().violations(invariant::non_idempotent_once);
    const once_record_id record = start(new_key());
    ledger.complete(record, {});
    ledger.abandon(record);
    BOOST_TEST(invariant_monitor::instance().violations(invariant::non_idempotent_once) == before + 1);
    BOOST_TEST(ledger.size() == 1U);
}

} // namespace mulberry
