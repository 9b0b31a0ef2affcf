#include "libs/documents/keyedits.h"

#include "documentfaults.h"
#include "libs/documents/documentcheck.h"

#include <fmt/format.h>

namespace mulberry {

namespace {

organisation_key make_key(std::uint8_t number)
{
    return {fmt::format("k{}", number), std::vector<std::uint8_t>(16, 1), std::vector<std::uint8_t>(32, number)};
}

const std::string commented_document = R"(# Limits as agreed.
view_age_limit = "3s"

# Large customer.
[[organisations]]
name = "north"   # since March
rate = 50
burst = 100

# Pays late.
[[organisations]]
name = "south"
rate = 5
burst = 10
)";

organisations_document parsed(const std::string& text)
{
    auto document = parse_organisations_document(text, "test.toml");
    BOOST_REQUIRE(document.has_value());
    return *document;
}

} // namespace

// Guards against an edit that loses the operators' comments or changes another organisation.
BOOST_AUTO_TEST_CASE(adding_and_removing_keys_preserves_everything_else)
{
    std::string text = commented_document;
    for (const auto& [organisation, number] :
         std::vector<std::pair<std::string, std::uint8_t>>{{"north", 1}, {"south", 2}, {"north", 3}}) {
        const auto edited = add_key(text, organisation, make_key(number));
        BOOST_REQUIRE(edited.has_value());
        organisations_document expected = parsed(text);
        const auto index = static_cast<std::size_t>(expected.find(organisation) - expected.organisations.data());
        expected.organisations[index].keys.push_back(make_key(number));
        BOOST_TEST((parsed(*edited) == expected));
        text = *edited;
    }
    for (const std::string comment : {"# Limits as agreed.", "# Large customer.", "# since March", "# Pays late."})
        BOOST_TEST(text.find(comment) != std::string::npos, comment);
    for (const auto& [organisation, id] :
         std::vector<std::pair<std::string, std::string>>{{"north", "k1"}, {"south", "k2"}, {"north", "k3"}}) {
        const auto edited = remove_key(text, organisation, id);
        BOOST_REQUIRE(edited.has_value());
        text = *edited;
    }
    BOOST_TEST((parsed(text) == parsed(commented_document)));
    BOOST_TEST(text.find("# Pays late.\n[[organisations]]\nname = \"south\"") != std::string::npos);
}

// Guards against a corrupted document when the organisations are not written as [[organisations]] tables, in which case
// a line-based edit is not possible.
BOOST_AUTO_TEST_CASE(inline_tables_are_rewritten)
{
    const std::string inline_form = "organisations = [{name = \"north\", rate = 1, burst = 1}]\n";
    const auto edited = add_key(inline_form, "north", make_key(1));
    BOOST_REQUIRE(edited.has_value());
    BOOST_TEST((parsed(*edited).organisations[0].keys[0] == make_key(1)));
    const auto removed = remove_key(*edited, "north", "k1");
    BOOST_REQUIRE(removed.has_value());
    BOOST_TEST((parsed(*removed) == parsed(inline_form)));
}

// Guards against edits of an unknown organisation, an unknown key or an invalid document that appear to succeed.
BOOST_AUTO_TEST_CASE(edits_of_unknown_organisations_or_keys_fail)
{
    BOOST_TEST(!add_key(commented_document, "west", make_key(1)).has_value());
    BOOST_TEST(!add_key("rate = 1\n", "north", make_key(1)).has_value());
    BOOST_TEST(!remove_key(commented_document, "north", "k1").has_value());
    const auto edited = add_key(commented_document, "north", make_key(1));
    BOOST_TEST(!remove_key(*edited, "south", "k1").has_value());
}

// Guards against storing a document under the name of another service.
BOOST_AUTO_TEST_CASE(documents_are_checked_against_their_name)
{
    const std::string orders = "service = \"orders\"\nslots = 1\nqueue_limit = 1\n";
    BOOST_TEST(check_document("orders", orders, "f").errors.empty());
    BOOST_TEST(check_document("organisations", commented_document, "f").errors.empty());
    BOOST_TEST(!check_document("stores", orders, "f").errors.empty());
    BOOST_TEST(!check_document("organisations", orders, "f").errors.empty());
    BOOST_TEST(!check_document("orders", commented_document, "f").errors.empty());
    BOOST_TEST((detect_document_kind(orders) == document_kind::service));
    BOOST_TEST((detect_document_kind(commented_document) == document_kind::organisations));
    BOOST_TEST((detect_document_kind("node_name = \"a\"\nservice = \"b\"\n") == document_kind::settings));
    BOOST_TEST((detect_document_kind("[") == document_kind::service));
}

} // namespace mulberry
