#include "app/metrics/daemonmetrics.h"
#include "app/sidecar/sidecarsettingsfile.h"
#include "libs/documents/daemonsettings.h"
#include "libs/documents/documentreference.h"

#include <fstream>
#include <iterator>
#include <string>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

std::string read_page(const std::string& name)
{
    std::ifstream file(std::string(DOCS_FOLDER) + "/" + name);
    BOOST_REQUIRE_MESSAGE(file.good(), "cannot read docs/" + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

void check_contains(const std::string& page, const std::string& text)
{
    BOOST_TEST(read_page(page).find(text) != std::string::npos, "docs/" << page << " lacks: " << text);
}

} // namespace

// Guards against settings pages that differ from the settings that the program accepts.
BOOST_AUTO_TEST_CASE(settings_page_matches_the_parser)
{
    check_contains("reference/settings.md", settings_reference());
    check_contains("reference/sidecar.md", sidecar_settings_reference());
}

// Guards against document pages that differ from the fields that the program accepts.
BOOST_AUTO_TEST_CASE(document_pages_match_the_parser)
{
    check_contains("reference/documents.md", service_document_reference());
    check_contains("reference/documents.md", organisations_document_reference());
}

// Guards against refusal reasons, retry decisions and invariants that are missing from the reference page.
BOOST_AUTO_TEST_CASE(every_reason_is_documented)
{
    for (int i = 0; i < static_cast<int>(refusal_reason::count); ++i) {
        const auto reason = static_cast<refusal_reason>(i);
        check_contains("reference/counters.md",
                       "| `" + std::string(to_string(reason)) + "` | " + std::to_string(http_status(reason)) + " |");
    }
    for (int i = 0; i < static_cast<int>(retry_refusal::count); ++i)
        check_contains("reference/counters.md", "| `" + std::string(to_string(static_cast<retry_refusal>(i))) + "` |");
    for (int i = 0; i < static_cast<int>(invariant::count); ++i)
        check_contains("reference/counters.md", "| `" + std::string(to_string(static_cast<invariant>(i))) + "` |");
}

} // namespace mulberry
