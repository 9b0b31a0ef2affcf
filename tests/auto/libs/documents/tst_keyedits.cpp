#include "libs/documents/keyedits.h"

#include "documentfaults.h"
#include "libs/documents/documentcheck.h"

#include <fmt/format.h>

namespace mulberry {

namespace {

organisation_key key_number(std::uint8_t number)
{
    return {fmt::format("k{}", number), std::vector<std::uint8_t>(16, 1), std::vector<std::uint8_t>(32, number)};
}

const std::string usual = R"(# Limits as agreed.
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
BOOST_AUTO_TEST_CASE(keys_come_and_go_without_other_changes)
{
    std::string text = usual;
    for (const auto& [organisation, number] :
         std::vector<std::pair<std::string, std::uint8_t>>{{"north", 1}, {"south", 2}, {"north", 3}}) {
        const auto edited = add_key(text, organisation, key_number(number));
        BOOST_REQUIRE(edited.has_value());
        organisations_document expected = parsed(text);
        const auto index = static_cast<std::size_t>(expected.find(organisation) - expected.organisations.data());
        expected.organisations[index].keys.push_back(key_number(number));
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
    BOOST_TEST((parsed(text) == parsed(usual)));
    BOOST_TEST(text.find("# Pays late.\n[[organisations]]\nname = \"south\"") != std::string::npos);
}

// Guards against an edit by lines that breaks a text in another form.
BOOST_AUTO_TEST_CASE(unusual_forms_are_written_anew)
{
    const std::string inline_form = "organisations = [{name = \"north\", rate = 1, burst = 1}]\n";
    const auto edited = add_key(inline_form, "north", key_number(1));
    BOOST_REQUIRE(edited.has_value());
    BOOST_TEST((parsed(*edited).organisations[0].keys[0] == key_number(1)));
    const auto removed = remove_key(*edited, "north", "k1");
    BOOST_REQUIRE(removed.has_value());
    BOOST_TEST((parsed(*removed) == parsed(inline_form)));
}

BOOST_AUTO_TEST_CASE(edits_of_what_does_not_exist_are_refused)
{
    BOOST_TEST(!add_key(usual, "west", key_number(1)).has_value());
    BOOST_TEST(!add_key("rate = 1\n", "north", key_number(1)).has_value());
    BOOST_TEST(!remove_key(usual, "north", "k1").has_value());
    const auto edited = add_key(usual, "north", key_number(1));
    BOOST_TEST(!remove_key(*edited, "south", "k1").has_value());
}

// Guards against a document that is stored under the name of another service.
BOOST_AUTO_TEST_CASE(documents_are_checked_against_their_name)
{
    const std::string orders = "service = \"orders\"\nslots = 1\nqueue_limit = 1\n";
    BOOST_TEST(check_document("orders", orders, "f").errors.empty());
    BOOST_TEST(check_document("organisations", usual, "f").errors.empty());
    BOOST_TEST(!check_document("stores", orders, "f").errors.empty());
    BOOST_TEST(!check_document("organisations", orders, "f").errors.empty());
    BOOST_TEST(!check_document("orders", usual, "f").errors.empty());
    BOOST_TEST((kind_of_document(orders) == document_kind::service));
    BOOST_TEST((kind_of_document(usual) == document_kind::organisations));
    BOOST_TEST((kind_of_document("node_name = \"a\"\nservice = \"b\"\n") == document_kind::settings));
    BOOST_TEST((kind_of_document("[") == document_kind::service));
}

} // namespace mulberry
