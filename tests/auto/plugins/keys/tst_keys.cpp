#include "libs/base/invariant.h"
#include "plugins/keys/keyring.h"

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

const std::vector<std::uint8_t> first_salt(key_salt_bytes, 1);
const std::vector<std::uint8_t> second_salt(key_salt_bytes, 2);

key_entry entry(std::string_view organisation, std::string_view key, std::span<const std::uint8_t> salt = first_salt)
{
    return make_key_entry(organisation, "id", key, salt).value();
}

key_error replace_error(key_ring& ring, std::span<const key_entry> entries)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<key_error> {
            BOOST_LEAF_CHECK(ring.replace(entries));
            return key_error::library_failure;
        },
        [](key_error error) { return error; }, [] { return key_error::library_failure; });
}

} // namespace

// Guards against a key that is valid for another organisation, or that is still valid after it was removed from the
// document.
BOOST_AUTO_TEST_CASE(key_maps_to_its_organisation_until_revoked)
{
    const std::string old_key = generate_key();
    const std::string new_key = generate_key();
    key_ring ring;
    BOOST_TEST(!ring.organisation_of(old_key));
    std::vector<key_entry> entries{entry("alpha", old_key), entry("beta", new_key, second_salt)};
    BOOST_TEST(static_cast<bool>(ring.replace(entries)));
    BOOST_TEST(ring.organisation_of(old_key).value() == "alpha");
    BOOST_TEST(ring.organisation_of(new_key).value() == "beta");
    BOOST_TEST(!ring.organisation_of(old_key + "x"));
    BOOST_TEST(!ring.organisation_of(old_key.substr(0, old_key.size() - 1)));
    entries.erase(entries.begin());
    BOOST_TEST(static_cast<bool>(ring.replace(entries)));
    BOOST_TEST(!ring.organisation_of(old_key));
    BOOST_TEST(!ring.authorises(old_key, "alpha"));
    BOOST_TEST(ring.size() == 1U);
}

// Guards against an invalid entry that prevents the document, and with it the revocation of a key, from taking effect.
BOOST_AUTO_TEST_CASE(invalid_entries_are_skipped_and_reported)
{
    const std::string first_key = generate_key();
    const std::string second_key = generate_key();
    struct row {
        key_entry invalid_entry;
        key_error expected{};
    };
    key_entry short_salt = entry("alpha", second_key);
    short_salt.salt.pop_back();
    key_entry long_hash = entry("alpha", second_key);
    long_hash.hash.push_back(0);
    for (const row& each : {row{short_salt, key_error::bad_salt}, row{long_hash, key_error::bad_hash},
                            row{entry("gamma", first_key), key_error::shared_key}}) {
        key_ring ring;
        const std::vector<key_entry> entries{entry("alpha", first_key), each.invalid_entry, entry("alpha", first_key),
                                             entry("beta", second_key, second_salt)};
        BOOST_TEST((replace_error(ring, entries) == each.expected));
        BOOST_TEST(ring.organisation_of(second_key).value() == "beta");
        BOOST_TEST(ring.organisation_of(first_key).has_value() == (each.expected != key_error::shared_key));
    }
}

// Guards against a key check whose cost grows without limit with the number of salts.
BOOST_AUTO_TEST_CASE(number_of_salts_is_bounded)
{
    std::vector<key_entry> entries;
    for (std::size_t i = 0; i <= max_key_salts; ++i)
        entries.push_back(entry("alpha", generate_key(), std::vector<std::uint8_t>(key_salt_bytes, std::uint8_t(i))));
    key_ring ring;
    BOOST_TEST((replace_error(ring, entries) == key_error::too_many_salts));
    BOOST_TEST(ring.size() == max_key_salts);
}

// Guards against keys that are short enough to guess, and against input of unlimited length from callers.
BOOST_AUTO_TEST_CASE(key_length_is_bounded)
{
    const std::string long_key(max_key_bytes + 1, 'k');
    BOOST_TEST(!make_key_entry("alpha", "id", "short", first_salt));
    BOOST_TEST(!make_key_entry("alpha", "id", long_key, first_salt));
    BOOST_TEST(!make_key_entry("alpha", "id", generate_key(), std::span(first_salt).first(3)));
    key_ring ring;
    BOOST_TEST(!ring.organisation_of(""));
    BOOST_TEST(!ring.organisation_of(long_key));
    std::string secret = generate_key();
    BOOST_TEST(secret.size() == 43U);
    wipe(secret);
    BOOST_TEST(secret.empty());
}

// Checks that the invariant is violated when the entry is about to run a request for an organisation other than the
// key's.
BOOST_AUTO_TEST_CASE(key_of_another_organisation_violates_the_invariant)
{
    const std::string key = generate_key();
    key_ring ring;
    const std::vector<key_entry> entries{entry("alpha", key)};
    BOOST_TEST(static_cast<bool>(ring.replace(entries)));
    const std::uint64_t before = invariant_monitor::instance().violations(invariant::key_authorised);
    BOOST_TEST(ring.authorises(key, "alpha"));
    BOOST_TEST(!ring.authorises(generate_key(), "alpha"));
    BOOST_TEST(invariant_monitor::instance().violations(invariant::key_authorised) == before);
    BOOST_TEST(!ring.authorises(key, "beta"));
    BOOST_TEST(invariant_monitor::instance().violations(invariant::key_authorised) == before + 1);
}

} // namespace mulberry
