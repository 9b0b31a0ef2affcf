#include "libs/documents/servicedocument.h"

#include "documentfaults.h"
#include "libs/documents/documentreference.h"

#include <fmt/format.h>

namespace mulberry {

namespace {

/// The keys of the service itself, on five lines.
const std::string service_keys =
    "service = \"orders\"\nslots = 120\nqueue_limit = 60\ntotal_attempts = 4\nbody_cap = \"64KiB\"\n";

std::string with_route(const std::string& path, const std::string& extra_lines = "", const std::string& name = "any")
{
    return "[[routes]]\nname = \"" + name + "\"\nmethod = \"GET\"\npath = \"" + path + "\"\ndeadline = \"800ms\"\n" +
           extra_lines;
}

std::vector<document_error> faults(const std::string& text)
{
    return faults_of(parse_service_document(text, "test.toml"));
}

} // namespace

// Guards against a key that is accepted but not stored in the result.
BOOST_AUTO_TEST_CASE(every_key_is_stored_in_the_result)
{
    const auto parsed = parse_service_document(service_keys + R"([[routes]]
name = "place"
method = "POST"
path = "/orders/*/lines/**"
importance = "critical"
organisations = ["north", "south"]
calling_services = ["catalogue"]
idempotent = true
deadline = "800ms"
)",
                                               "test.toml");
    BOOST_REQUIRE(parsed.has_value());
    const route expected{
        "place",       "POST", "/orders/*/lines/**",          importance::critical, false, {"north", "south"},
        {"catalogue"}, true,   std::chrono::milliseconds(800)};
    const service_document document{"orders", 120, 60, 4, 65536, {expected}};
    BOOST_TEST((*parsed == document));
}

// Guards against invalid documents being accepted or reported with the wrong line or key.
BOOST_AUTO_TEST_CASE(errors_name_line_and_key)
{
    const std::vector<fault_case> cases{
        {service_keys + "slot = 3\n", 6, "slot", "not a known key"},
        {"slots = 1\nqueue_limit = 1\n", 0, "service", "is missing"},
        {"service = \"a\"\nslots = \"1\"\nqueue_limit = 1\n", 2, "slots", "whole number"},
        {"service = \"a\"\nslots = 1.5\nqueue_limit = 1\n", 2, "slots", "whole number"},
        {"service = \"a\"\nslots = 0\nqueue_limit = 1\n", 2, "slots", "from 1"},
        {"service = \"a\"\nslots = 4294967297\nqueue_limit = 1\n", 2, "slots", "from 1"},
        {"service = \"a\"\nslots = 1\nqueue_limit = -1\n", 3, "queue_limit", "from 0"},
        {"service = \"A b\"\nslots = 1\nqueue_limit = 1\n", 1, "service", "lower-case"},
        {"service = \"mulberry\"\nslots = 1\nqueue_limit = 1\n", 1, "service", "reserved"},
        {"service = \"organisations\"\nslots = 1\nqueue_limit = 1\n", 1, "service", "reserved"},
        {"service = \"a\"\nslots = 1\nqueue_limit = 1\nbody_cap = \"1MB\"\n", 4, "body_cap", "unit of size"},
        {"service = \"a\"\nslots = 1\nqueue_limit = 1\nbody_cap = \"65MiB\"\n", 4, "body_cap", "64MiB"},
        {service_keys + "routes = 3\n", 6, "routes", "list of tables"},
        {service_keys + "routes = [3]\n", 6, "routes[0]", "table"},
        {service_keys + "slots = 3\n", 6, "", ""},
        {service_keys + "x = [\n", 6, "", ""},
        {service_keys + "[[routes]]\nname = \"a\"\nmethod = \"GET\"\npath = \"/\"\n", 6, "routes[0].deadline",
         "missing"},
        {service_keys + with_route("/", "weight = 1\n"), 11, "routes[0].weight", "not a known key"},
        {service_keys + with_route("/", "importance = \"urgent\"\n"), 11, "routes[0].importance", "urgent"},
        {service_keys + with_route("/", "idempotent = \"yes\"\n"), 11, "routes[0].idempotent", "true or false"},
        {service_keys + with_route("/", "organisations = [\"a\",\n3]\n"), 12, "routes[0].organisations[1]", "text"},
        {service_keys + with_route("/", "organisations = [\"a b\"]\n"), 11, "routes[0].organisations", "a b"},
        {service_keys + with_route("/", "open = true\norganisations = [\"a\"]\n"), 12, "routes[0].organisations",
         "open"},
        {service_keys + with_route("/a") + with_route("/b"), 12, "routes[1].name", "already used"},
        {service_keys + with_route("/a/**") + with_route("/a/*/c", "", "other"), 14, "routes[1].path", "never reached"},
        {service_keys + with_route("/a/b") + with_route("/a/b", "", "other"), 14, "routes[1].path", "never reached"},
    };
    for (const fault_case& expected : cases)
        check_fault(faults(expected.text), expected);
}

// Guards against a parser that guesses the unit or accepts a malformed duration: a bare number, a fraction, a space, an
// unknown unit, an overflow or a value out of range.
BOOST_AUTO_TEST_CASE(deadlines_require_a_unit)
{
    for (const std::string text : {"800", "0.8s", "800 ms", "800MS", "800m", "-1s", "ms", "", "+1s", "0ms", "61min",
                                   "18446744073709551616us", "9223372036854775807s"}) {
        const std::string document = fmt::format(
            "{}[[routes]]\nname = \"a\"\nmethod = \"GET\"\npath = \"/\"\ndeadline = \"{}\"\n", service_keys, text);
        check_fault(faults(document), {document, 10, "routes[0].deadline", text});
    }
}

// Guards against accepting patterns that are ambiguous or that no request can match.
BOOST_AUTO_TEST_CASE(invalid_patterns_are_rejected)
{
    for (const std::string path :
         {"a", "", "//", "/a/", "/a//b", "/./a", "/..", "/**/a", "/a*", "/***", "/a?b", "/a#b", "/%61", "/a\\\\b"}) {
        const std::string document = service_keys + with_route(path);
        check_fault(faults(document), {document, 9, "routes[0].path", ""});
    }
}

// Guards against a parser that stops at the first error.
BOOST_AUTO_TEST_CASE(all_errors_are_reported_in_order_of_lines)
{
    const std::vector<document_error> errors =
        faults("slots = 0\nqueue_limit = \"many\"\nextra = 1\n[[routes]]\nname = \"a\"\nmethod = \"get\"\n");
    std::vector<std::string> keys;
    keys.reserve(errors.size());
    for (const document_error& error : errors)
        keys.push_back(error.key);
    const std::vector<std::string> expected{
        "service", "slots", "queue_limit", "extra", "routes[0].path", "routes[0].deadline", "routes[0].method"};
    BOOST_TEST(keys == expected, boost::test_tools::per_element());
}

// Guards against a path that the upstream resolves to a route other than the one that was matched and checked here.
BOOST_AUTO_TEST_CASE(paths_match_after_decoding_and_ambiguous_paths_match_no_route)
{
    const auto parsed = parse_service_document(service_keys + with_route("/admin/users", "", "admin") +
                                                   with_route("/items/*", "", "item") +
                                                   with_route("/files/**", "open = true\n", "files") +
                                                   with_route("/", "", "root") + with_route("/**", "", "rest"),
                                               "test.toml");
    BOOST_REQUIRE(parsed.has_value());
    struct match_case {
        std::string method;
        std::string path;
        std::string route_name;
    };
    const std::vector<match_case> cases{
        {"GET", "/admin/users", "admin"},
        {"GET", "/admin/users?x=/../y", "admin"},
        {"GET", "/%61dmin/users", "admin"},
        {"GET", "/admin%2Fusers", ""},
        {"GET", "/admin%5Cusers", ""},
        {"GET", "/files/../admin/users", ""},
        {"GET", "/files/%2e%2E/admin/users", ""},
        {"GET", "/files/./x", ""},
        {"GET", "/files//x", ""},
        {"GET", "/files/x\\..\\admin", ""},
        {"GET", "/files/%00", ""},
        {"GET", "/files/%", ""},
        {"GET", "/files/%4", ""},
        {"GET", "/files/%zz", ""},
        {"GET", "/files/%+1", ""},
        {"GET", "/files/a#b", ""},
        {"GET", "/items/7/", ""},
        {"GET", "/files", "files"},
        {"GET", "/files/a/b/c", "files"},
        {"GET", "/items/7", "item"},
        {"GET", "/items/7/8", "rest"},
        {"GET", "/", "root"},
        {"GET", "/?page=2", "root"},
        {"GET", "", ""},
        {"GET", "items/7", ""},
        {"get", "/items/7", ""},
        {"POST", "/items/7", ""},
    };
    for (const match_case& expected : cases) {
        BOOST_TEST_CONTEXT(expected.method << " " << expected.path)
        {
            const route* found = parsed->match(expected.method, expected.path);
            BOOST_TEST((found == nullptr ? "" : found->name) == expected.route_name);
        }
    }
}

// Guards against empty lists meaning "none" for one key and "all" for another.
BOOST_AUTO_TEST_CASE(empty_lists_allow_all)
{
    const route any;
    BOOST_TEST(any.allows_organisation("north"));
    BOOST_TEST(any.allows_calling_service("orders"));
    route limited;
    limited.organisations = {"north"};
    limited.calling_services = {"orders"};
    BOOST_TEST(!limited.allows_organisation("south"));
    BOOST_TEST(!limited.allows_organisation(""));
    BOOST_TEST(!limited.allows_calling_service("stores"));
}

// Guards against malformed or oversized input that crashes the parser or is accepted.
BOOST_AUTO_TEST_CASE(malformed_input_is_rejected)
{
    const std::vector<std::string> texts{
        std::string(1'000'001, '#'),        std::string("\0", 1),       "\xff\xfe", "a = " + std::string(5000, '['),
        "routes = [{routes = [{}]}]\n",     "[routes]\nname = \"a\"\n", "=",        "[[",
        "service = 1979-05-27T07:32:00Z\n",
    };
    for (const std::string& text : texts)
        BOOST_TEST(!faults(text).empty());
}

// Guards against keys that are missing from the reference.
BOOST_AUTO_TEST_CASE(reference_contains_the_keys)
{
    const std::string reference = service_document_reference();
    for (const std::string key : {"`service`", "`slots`", "`body_cap`", "`calling_services`", "`deadline`", "`1MiB`"})
        BOOST_TEST(reference.find(key) != std::string::npos, key);
}

} // namespace mulberry
