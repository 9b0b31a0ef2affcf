#include "libs/documents/organisationsdocument.h"

#include "documentfaults.h"

#include <fmt/format.h>

namespace mulberry {

namespace {

const std::string salt_hex = "000102030405060708090a0b0c0d0e0f";
const std::string hash_hex = "00112233445566778899aabbccddeeff00112233445566778899aabbccddee";

/// Returns a hash in hexadecimal that ends with the given byte, 0 to 255.
std::string hash_with_last_byte(unsigned int number)
{
    return fmt::format("{}{:02x}", hash_hex, number);
}

std::string key_table(const std::string& id, const std::string& salt = salt_hex,
                      const std::string& hash = hash_with_last_byte(0))
{
    return "[[organisations.keys]]\nid = \"" + id + "\"\nsalt = \"" + salt + "\"\nhash = \"" + hash + "\"\n";
}

/// Returns a table of four lines.
std::string organisation_table(const std::string& name, const std::string& rate = "50",
                               const std::string& burst = "100")
{
    return "[[organisations]]\nname = \"" + name + "\"\nrate = " + rate + "\nburst = " + burst + "\n";
}

std::vector<document_error> faults(const std::string& text)
{
    return faults_of(parse_organisations_document(text, "test.toml"));
}

} // namespace

// Guards against organisations or keys that are accepted but missing from the result.
BOOST_AUTO_TEST_CASE(organisations_and_keys_are_stored_in_the_result)
{
    const auto parsed = parse_organisations_document(
        "view_age_limit = \"1h\"\n" + organisation_table("north", "0.5", "1") + key_table("k1") +
            key_table("k2", salt_hex, hash_with_last_byte(1)) + organisation_table("south"),
        "test.toml");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((parsed->view_age_limit == std::chrono::hours(1)));
    BOOST_REQUIRE(parsed->organisations.size() == 2U);
    const organisation* north = parsed->find("north");
    BOOST_REQUIRE(north != nullptr);
    BOOST_TEST(north->rate == 0.5);
    BOOST_REQUIRE(north->keys.size() == 2U);
    BOOST_TEST(north->keys[1].id == "k2");
    BOOST_TEST(north->keys[0].salt[15] == 0x0f);
    BOOST_TEST(north->keys[0].hash[1] == 0x11);
    BOOST_TEST(parsed->find("west") == nullptr);
}

// Guards against a limit longer than the documented 2 s when the key is missing.
BOOST_AUTO_TEST_CASE(view_age_limit_defaults_to_two_seconds)
{
    const auto parsed = parse_organisations_document("", "test.toml");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((parsed->view_age_limit == std::chrono::seconds(2)));
}

// Guards against invalid documents being accepted or reported with the wrong line or key.
BOOST_AUTO_TEST_CASE(errors_name_line_and_key)
{
    const std::string one = organisation_table("north");
    const std::vector<fault_case> cases{
        {"view_age_limit = \"61min\"\n", 1, "view_age_limit", "2s to 1h"},
        {"view_age_limit = \"1s\"\n", 1, "view_age_limit", "2s to 1h"},
        {"view_age_limit = 2\n", 1, "view_age_limit", "text"},
        {"organisation = []\n", 1, "organisation", "not a known key"},
        {organisation_table("north", "0"), 3, "organisations[0].rate", "from 0.001"},
        {organisation_table("north", "nan"), 3, "organisations[0].rate", "from 0.001"},
        {organisation_table("north", "inf"), 3, "organisations[0].rate", "from 0.001"},
        {organisation_table("north", "-5"), 3, "organisations[0].rate", "from 0.001"},
        {organisation_table("north", "\"50/s\""), 3, "organisations[0].rate", "number"},
        {organisation_table("north", "50", "0.5"), 4, "organisations[0].burst", "from 1"},
        {"[[organisations]]\nname = \"north\"\nrate = 1\n", 1, "organisations[0].burst", "missing"},
        {one + organisation_table("north"), 6, "organisations[1].name", "already"},
        {one + key_table("k1") + key_table("k1", salt_hex, hash_with_last_byte(1)), 10, "organisations[0].keys[1].id",
         "already"},
        {one + key_table("k1") + organisation_table("south") + key_table("k1", salt_hex, hash_with_last_byte(1)), 14,
         "organisations[1].keys[0].id", "already"},
        {one + key_table("k1") + organisation_table("south") + key_table("k2"), 16, "organisations[1].keys[0].hash",
         "already"},
        {one + key_table("k.1"), 6, "organisations[0].keys[0].id", "lower-case"},
        {one + key_table("k1", salt_hex + "00"), 7, "organisations[0].keys[0].salt", "32 hex"},
        {one + key_table("k1", "zz" + salt_hex.substr(2)), 7, "organisations[0].keys[0].salt", "32 hex"},
        {one + key_table("k1", salt_hex, ""), 8, "organisations[0].keys[0].hash", "64 hex"},
        {one + "keys = \"none\"\n", 5, "organisations[0].keys", "list of tables"},
    };
    for (const fault_case& expected : cases)
        check_fault(faults(expected.text), expected);
}

// Guards against accepting a document with more salts than the key ring supports, because the ring would ignore the
// last keys.
BOOST_AUTO_TEST_CASE(number_of_salts_is_limited)
{
    std::string text = organisation_table("north");
    for (unsigned int i = 0; i < 16; ++i)
        text += key_table(fmt::format("k{}", i), fmt::format("{:032x}", i), hash_with_last_byte(i));
    BOOST_TEST(faults(text).empty());
    text += key_table("last", fmt::format("{:032x}", 16), hash_with_last_byte(16));
    check_fault(faults(text), {text, 71, "organisations[0].keys[16].salt", "number 17"});
}

// Guards against an error message that discloses a secret which an operator pasted in place of the hash.
BOOST_AUTO_TEST_CASE(error_messages_do_not_contain_pasted_secrets)
{
    const auto errors = faults(organisation_table("north") + key_table("k1", salt_hex, "k1.secret"));
    BOOST_TEST(to_string(document_errors{errors}).find("secret") == std::string::npos);
}

// Guards against a loss of data when the document is rewritten, for example when a key is added.
BOOST_AUTO_TEST_CASE(written_text_parses_to_an_equal_document)
{
    organisations_document document;
    document.view_age_limit = std::chrono::milliseconds(2500);
    document.organisations.push_back(
        {"north", 0.1, 1e6, {{"k1", std::vector<std::uint8_t>(16, 0xa5), std::vector<std::uint8_t>(32, 0xf0)}}});
    document.organisations.push_back({"south", 12345.678, 1, {}});
    const auto parsed = parse_organisations_document(to_toml(document), "test.toml");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((*parsed == document));
}

} // namespace mulberry
