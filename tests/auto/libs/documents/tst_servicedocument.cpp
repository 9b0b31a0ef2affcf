#include "libs/documents/servicedocument.h"

#include "documentfaults.h"
#include "libs/documents/documentreference.h"

#include <fmt/format.h>

namespace mulberry {

namespace {

/// Five lines.
const std::string head =
    "service = \"orders\"\nslots = 120\nqueue_limit = 60\ntotal_attempts = 4\nbody_cap = \"64KiB\"\n";

std::string with_route(const std::string& path, const std::string& more = "", const std::string& name = "any")
{
    return "[[routes]]\nname = \"" + name + "\"\nmethod = \"GET\"\npath = \"" + path + "\"\ndeadline = \"800ms\"\n" +
           more;
}

std::vector<document_error> faults(const std::string& text)
{
    return faults_of(parse_service_document(text, "test.toml"));
}

} // namespace

// Guards against a key that is accepted but not stored in the result.
BOOST_AUTO_TEST_CASE(every_key_reaches_the_result)
{
    const auto parsed = parse_service_document(head + R"([[routes]]
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

// Guards against faults that are accepted, or reported at another place than their own.
BOOST_AUTO_TEST_CASE(faults_name_their_line_and_key)
{
    const std::vector<fault_case> cases{
        {head + "slot = 3\n", 6, "slot", "not a known key"},
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
        {head + "routes = 3\n", 6, "routes", "list of tables"},
        {head + "routes = [3]\n", 6, "routes[0]", "table"},
        {head + "slots = 3\n", 6, "", ""},
        {head + "x = [\n", 6, "", ""},
        {head + "[[routes]]\nname = \"a\"\nmethod = \"GET\"\npath = \"/\"\n", 6, "routes[0].deadline", "missing"},
        {head + with_route("/", "weight = 1\n"), 11, "routes[0].weight", "not a known key"},
        {head + with_route("/", "importance = \"urgent\"\n"), 11, "routes[0].importance", "urgent"},
        {head + with_route("/", "idempotent = \"yes\"\n"), 11, "routes[0].idempotent", "true or false"},
        {head + with_route("/", "organisations = [\"a\",\n3]\n"), 12, "routes[0].organisations[1]", "text"},
        {head + with_route("/", "organisations = [\"a b\"]\n"), 11, "routes[0].organisations", "a b"},
        {head + with_route("/", "open = true\norganisations = [\"a\"]\n"), 12, "routes[0].organisations", "open"},
        {head + with_route("/a") + with_route("/b"), 12, "routes[1].name", "already used"},
        {head + with_route("/a/**") + with_route("/a/*/c", "", "other"), 14, "routes[1].path", "never reached"},
        {head + with_route("/a/b") + with_route("/a/b", "", "other"), 14, "routes[1].path", "never reached"},
    };
    for (const fault_case& expected : cases)
        check_fault(faults(expected.text), expected);
}

// Guards against units that are guessed: a bare number, a fraction, a space, another unit, an overflow, out of range.
BOOST_AUTO_TEST_CASE(deadlines_need_a_unit)
{
    for (const std::string text : {"800", "0.8s", "800 ms", "800MS", "800m", "-1s", "ms", "", "+1s", "0ms", "61min",
                                   "18446744073709551616us", "9223372036854775807s"}) {
        const std::string document =
            fmt::format("{}[[routes]]\nname = \"a\"\nmethod = \"GET\"\npath = \"/\"\ndeadline = \"{}\"\n", head, text);
        check_fault(faults(document), {document, 10, "routes[0].deadline", text});
    }
}

BOOST_AUTO_TEST_CASE(patterns_that_are_refused)
{
    for (const std::string path :
         {"a", "", "//", "/a/", "/a//b", "/./a", "/..", "/**/a", "/a*", "/***", "/a?b", "/a#b", "/%61", "/a\\\\b"}) {
        const std::string document = head + with_route(path);
        check_fault(faults(document), {document, 9, "routes[0].path", ""});
    }
}

// Guards against a report that stops at the first fault.
BOOST_AUTO_TEST_CASE(all_faults_are_reported_in_order_of_lines)
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

// Guards against a path that reaches another route at the upstream than the one that was checked here.
BOOST_AUTO_TEST_CASE(paths_match_after_decoding_and_ambiguous_paths_match_nothing)
{
    const auto parsed =
        parse_service_document(head + with_route("/admin/users", "", "admin") + with_route("/items/*", "", "item") +
                                   with_route("/files/**", "open = true\n", "files") + with_route("/", "", "root") +
                                   with_route("/**", "", "rest"),
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

// Guards against a list that is empty by mistake being read as "none" at one place and as "all" at another.
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

// Guards against garbage that brings the parser down instead of being refused.
BOOST_AUTO_TEST_CASE(garbage_is_refused)
{
    const std::vector<std::string> texts{
        std::string(1'000'001, '#'),        std::string("\0", 1),       "\xff\xfe", "a = " + std::string(5000, '['),
        "routes = [{routes = [{}]}]\n",     "[routes]\nname = \"a\"\n", "=",        "[[",
        "service = 1979-05-27T07:32:00Z\n",
    };
    for (const std::string& text : texts)
        BOOST_TEST(!faults(text).empty());
}

// Guards against a key that the reference leaves out.
BOOST_AUTO_TEST_CASE(reference_names_the_keys)
{
    const std::string reference = service_document_reference();
    for (const std::string key : {"`service`", "`slots`", "`body_cap`", "`calling_services`", "`deadline`", "`1MiB`"})
        BOOST_TEST(reference.find(key) != std::string::npos, key);
}

} // namespace mulberry
