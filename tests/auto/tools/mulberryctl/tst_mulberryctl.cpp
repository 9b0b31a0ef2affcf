#include "fakedaemon.h"
#include "libs/documents/organisationsdocument.h"
#include "plugins/keys/keyring.h"
#include "tools/mulberryctl/checkcommand.h"
#include "tools/mulberryctl/daemoncommands.h"
#include "tools/mulberryctl/linediff.h"

#include <filesystem>
#include <fstream>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace mulberry {

namespace {

using nlohmann::json;

const std::string orders = "service = \"orders\"\nslots = 10\nqueue_limit = 5\n";
const std::string organisations = R"(# Agreed limits.
[[organisations]]
name = "north"
rate = 50
burst = 100

[[organisations]]
name = "south"
rate = 5
burst = 10
)";

/// A temporary folder for test files. The destructor removes it.
class temporary_folder {
public:
    temporary_folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "tst_ctl_XXXXXX").string();
        m_path = mkdtemp(pattern.data());
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder() { std::filesystem::remove_all(m_path); }

    std::string write(const std::string& name, const std::string& text) const
    {
        const std::filesystem::path file = m_path / name;
        std::ofstream(file) << text;
        return file.string();
    }

private:
    std::filesystem::path m_path;
};

struct ctl_fixture {
    temporary_folder folder;
    fake_daemon daemon;
    int wait_count = 0;
    operators_api api{daemon, "secret", [this](duration) { ++wait_count; }};
    daemon_commands commands{api, [this](duration) { ++wait_count; }};

    command_report run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--credential-file", "unused"});
        const ctl_command_line line = parse_ctl_command_line(arguments);
        BOOST_TEST(line.usage_error == "");
        return commands.run(line);
    }
    command_report put_orders(const std::string& text, const std::string& revision = "7")
    {
        daemon.documents["orders"] = {7, orders};
        return run({"put", "orders", folder.write("orders.toml", text), "--revision", revision});
    }
    /// Returns the organisation that the document in force assigns the key to; empty if none.
    std::string organisation_of_key(const std::string& key)
    {
        const auto parsed = parse_organisations_document(daemon.documents["organisations"].content, "f");
        std::vector<key_entry> entries;
        for (const organisation& owner : parsed->organisations) {
            for (const organisation_key& stored : owner.keys)
                entries.push_back({owner.name, stored.id, stored.salt, stored.hash});
        }
        key_ring ring;
        BOOST_TEST(static_cast<bool>(ring.replace(entries)));
        return ring.organisation_of(key).value_or("");
    }
};

} // namespace

// Guards against an exit code or a report that does not match the state of the document in the store, after requests
// and responses have been lost.
BOOST_AUTO_TEST_CASE(put_reports_outcome)
{
    struct put_case {
        std::string name;
        put_fault injected_fault;
        bool reads_fail;
        exit_code code;
        bool written;
    };
    const std::vector<put_case> cases{
        {"accepted", put_fault::none, false, exit_code::ok, true},
        {"not sent", put_fault::not_sent, false, exit_code::unreachable, false},
        {"lost request", put_fault::request_lost, false, exit_code::unreachable, false},
        {"lost response", put_fault::response_lost, false, exit_code::ok, true},
        {"lost response, reads fail", put_fault::response_lost, true, exit_code::unreachable, true},
        {"refused by a node that is not a watcher", put_fault::unavailable_not_written, false, exit_code::unreachable,
         false},
        {"no response from the store after the write", put_fault::unavailable_after_write, false, exit_code::ok, true},
    };
    const std::string changed = orders + "total_attempts = 4\n";
    for (const put_case& expected : cases) {
        BOOST_TEST_CONTEXT(expected.name)
        {
            ctl_fixture fixture;
            fixture.daemon.put_faults = {expected.injected_fault};
            fixture.daemon.reads_fail = expected.reads_fail;
            const command_report report = fixture.put_orders(changed);
            BOOST_TEST((report.code == expected.code));
            BOOST_TEST((fixture.daemon.documents["orders"].content == changed) == expected.written);
            BOOST_TEST(fixture.daemon.put_count == 1);
            const bool reports_unknown_outcome = report.text.find("may be in force") != std::string::npos;
            BOOST_TEST(reports_unknown_outcome ==
                       (expected.name.starts_with("lost") && expected.code != exit_code::ok));
        }
    }
}

// Guards against overwriting another operator's concurrent change, and against a conflict report without the difference
// to the document in force.
BOOST_FIXTURE_TEST_CASE(conflict_report_contains_difference, ctl_fixture)
{
    const command_report report = put_orders(orders + "total_attempts = 4\n", "6");
    BOOST_TEST((report.code == exit_code::conflict));
    BOOST_TEST(daemon.documents["orders"].content == orders);
    BOOST_TEST(report.text.find("+ total_attempts = 4\n") != std::string::npos);
    BOOST_TEST(report.data["revision"] == 7);
    BOOST_TEST(report.data["content"] == orders);
    const std::string file = folder.write("new.toml", "service = \"stores\"\nslots = 1\nqueue_limit = 1\n");
    BOOST_TEST((run({"put", "stores", file, "--revision", "3"}).code == exit_code::conflict));
    BOOST_TEST((run({"put", "stores", file, "--revision", "0"}).code == exit_code::ok));
}

// Guards against sending the store an invalid document, or one whose service does not match the name of the document.
BOOST_FIXTURE_TEST_CASE(invalid_document_is_not_sent, ctl_fixture)
{
    const command_report report = put_orders("service = \"orders\"\nslots = 0\nqueue_limit = 5\n");
    BOOST_TEST((report.code == exit_code::refused));
    BOOST_TEST(report.text.find("orders.toml:2: slots: must be from 1") != std::string::npos);
    BOOST_TEST(daemon.put_count == 0);
    BOOST_TEST((put_orders("service = \"stores\"\nslots = 1\nqueue_limit = 5\n").code == exit_code::refused));
    BOOST_TEST(daemon.put_count == 0);
}

// Guards against a report of success that omits the nodes which have not confirmed the change. The default wait of 7 s
// is 35 polls of 200 ms.
BOOST_FIXTURE_TEST_CASE(put_waits_for_confirmations_and_names_missing_ones, ctl_fixture)
{
    daemon.missing_confirmations = {{"quay", "caudan"}, {"quay"}, {}};
    command_report report = put_orders(orders);
    BOOST_TEST(wait_count == 2);
    BOOST_TEST(report.text.find("Every node has confirmed.") != std::string::npos);
    daemon.missing_confirmations = {{"quay"}};
    report = put_orders(orders);
    BOOST_TEST((report.code == exit_code::ok));
    BOOST_TEST(wait_count == 2 + 35);
    BOOST_TEST(report.text.find("Not confirmed by: quay") != std::string::npos);
    BOOST_TEST((report.data["missing"] == json{"quay"}));
}

// Guards against a granted key that is invalid, that belongs to another organisation, or that remains valid after its
// withdrawal.
BOOST_FIXTURE_TEST_CASE(granted_key_works_until_it_is_withdrawn, ctl_fixture)
{
    daemon.documents["organisations"] = {9, organisations};
    const command_report granted = run({"grant", "north"});
    BOOST_REQUIRE((granted.code == exit_code::ok));
    const auto key = granted.data["key"].get<std::string>();
    BOOST_TEST(organisation_of_key(key) == "north");
    BOOST_TEST(daemon.documents["organisations"].content.find(key) == std::string::npos);
    BOOST_TEST(daemon.documents["organisations"].content.starts_with("# Agreed limits."));
    BOOST_TEST(granted.text.find(key) != std::string::npos);
    const command_report second = run({"grant", "south", "--key-id", "spare"});
    BOOST_TEST(organisation_of_key(second.data["key"].get<std::string>()) == "south");
    BOOST_TEST(organisation_of_key(key) == "north");
    BOOST_TEST((run({"grant", "south", "--key-id", "spare"}).code == exit_code::refused));
    BOOST_TEST((run({"withdraw", "south", granted.data["key_id"]}).code == exit_code::refused));
    BOOST_TEST((run({"withdraw", "north", granted.data["key_id"]}).code == exit_code::ok));
    BOOST_TEST(organisation_of_key(key) == "");
    BOOST_TEST((run({"grant", "west"}).code == exit_code::refused));
}

// Guards against showing a key that may not be in force after a lost request, and against overwriting a concurrent
// change of the organisations document.
BOOST_FIXTURE_TEST_CASE(grant_handles_conflicts_and_lost_messages, ctl_fixture)
{
    daemon.documents["organisations"] = {9, organisations};
    daemon.before_put = [this] { daemon.documents["organisations"] = {10, organisations + "# Added meanwhile.\n"}; };
    const command_report report = run({"grant", "north"});
    BOOST_TEST((report.code == exit_code::ok));
    BOOST_TEST(daemon.put_count == 2);
    BOOST_TEST(organisation_of_key(report.data["key"].get<std::string>()) == "north");
    BOOST_TEST(daemon.documents["organisations"].content.find("# Added meanwhile.") != std::string::npos);

    daemon.put_faults = {put_fault::response_lost};
    BOOST_TEST((run({"grant", "north"}).code == exit_code::ok));
    daemon.put_faults = {put_fault::request_lost};
    const command_report unknown = run({"grant", "north"});
    BOOST_TEST((unknown.code == exit_code::unreachable));
    BOOST_TEST(!unknown.data.contains("key"));
    BOOST_TEST(unknown.data.contains("key_id"));
}

// Guards against accepting responses of other servers as the daemon's, and against wrong exit codes.
BOOST_AUTO_TEST_CASE(responses_map_to_exit_codes)
{
    struct response_case {
        std::vector<std::string> arguments;
        std::string request;
        http_response response;
        exit_code code;
    };
    const std::vector<response_case> cases{
        {{"status"}, "GET /v1/status", {200, {}, R"({"node":"a"})"}, exit_code::ok},
        {{"status"}, "GET /v1/status", {200, {}, "<html>"}, exit_code::unreachable},
        {{"status"}, "GET /v1/status", {200, {}, "[]"}, exit_code::unreachable},
        {{"status"}, "GET /v1/status", {401, {}, R"({"message":"no"})"}, exit_code::refused},
        {{"status"}, "GET /v1/status", {500, {}, ""}, exit_code::unreachable},
        {{"drain"}, "POST /v1/drain", {202, {}, R"({"state":"draining"})"}, exit_code::ok},
        {{"drain"}, "POST /v1/drain", {403, {}, ""}, exit_code::refused},
        {{"explain", "r-1"}, "GET /v1/explain/r-1", {200, {}, R"({"hops":[]})"}, exit_code::ok},
        {{"explain", "r#1"}, "GET /v1/explain/r%231", {200, {}, "{}"}, exit_code::ok},
        {{"explain", "r-1"}, "GET /v1/explain/r-1", {404, {}, "{}"}, exit_code::refused},
        {{"explain", "../status"}, "", {}, exit_code::usage},
        {{"get", "orders"}, "GET /v1/documents/orders", {404, {}, "{}"}, exit_code::refused},
        {{"get", "orders"}, "GET /v1/documents/orders", {404, {}, "<html>"}, exit_code::refused},
        {{"get", "orders"},
         "GET /v1/documents/orders",
         {200, {}, R"({"revision":"1","content":""})"},
         exit_code::unreachable},
        {{"get", "a/b"}, "", {}, exit_code::usage},
        {{"grant", "north"}, "GET /v1/documents/organisations", {404, {}, "{}"}, exit_code::refused},
        {{"grant", "north"},
         "GET /v1/documents/organisations",
         {200, {}, R"({"revision":1,"content":"x"})"},
         exit_code::refused},
    };
    for (const response_case& expected : cases) {
        BOOST_TEST_CONTEXT(expected.request << " " << expected.response.status << " " << expected.response.body)
        {
            ctl_fixture fixture;
            fixture.daemon.fixed_responses[expected.request] = expected.response;
            BOOST_TEST((fixture.run(expected.arguments).code == expected.code));
            BOOST_TEST(fixture.daemon.received_requests.size() == (expected.request.empty() ? 0U : 1U));
            BOOST_TEST(fixture.daemon.put_count == 0);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(wrong_credential_is_refused, ctl_fixture)
{
    operators_api unauthorised_api(daemon, "guess", [](duration) {});
    daemon_commands unauthorised_commands(unauthorised_api, [](duration) {});
    ctl_command_line line;
    line.command = "get";
    line.arguments = {"orders"};
    BOOST_TEST((unauthorised_commands.run(line).code == exit_code::refused));
}

BOOST_FIXTURE_TEST_CASE(check_validates_all_files_together, ctl_fixture)
{
    const std::string good = folder.write("orders.toml", orders);
    const std::string bad = folder.write("bad.toml", "slots = 0\nqueue_limit = 1\n");
    const std::string limits = folder.write("organisations.toml", "view_age_limit = \"1h\"\n" + organisations);
    const std::string routes = folder.write(
        "stores.toml", "service = \"stores\"\nslots = 1\nqueue_limit = 1\n[[routes]]\nname = \"a\"\nmethod = \"GET\"\n"
                       "path = \"/\"\ndeadline = \"1s\"\norganisations = [\"nort\"]\n");
    command_report report = check_files(std::vector<std::string>{good, limits, routes});
    BOOST_TEST((report.code == exit_code::ok));
    BOOST_TEST(report.text.find("up to 1h on a disconnected node") != std::string::npos);
    BOOST_TEST(report.text.find("unknown organisation nort") != std::string::npos);
    report = check_files(std::vector<std::string>{good, bad});
    BOOST_TEST((report.code == exit_code::refused));
    BOOST_TEST(report.data["files"][0]["valid"] == true);
    BOOST_TEST(report.data["files"][1]["errors"].size() == 2U);
    BOOST_TEST(report.data["files"][1]["errors"][1]["line"] == 1);
    BOOST_TEST((check_files(std::vector<std::string>{good, "missing.toml"}).code == exit_code::usage));
}

BOOST_AUTO_TEST_CASE(invalid_command_lines_are_rejected)
{
    for (const std::vector<std::string>& arguments : std::vector<std::vector<std::string>>{
             {},
             {"remove"},
             {"check"},
             {"put", "orders", "f", "--credential-file", "c"},
             {"put", "orders", "f", "--revision", "-1", "--credential-file", "c"},
             {"put", "orders", "--revision", "1", "--credential-file", "c"},
             {"status", "extra", "--credential-file", "c"},
             {"status"},
             {"status", "--credential-file", "c", "--wait", "3"},
             {"status", "--unknown"},
         }) {
        BOOST_TEST(!parse_ctl_command_line(arguments).usage_error.empty(),
                   fmt::format("{}", fmt::join(arguments, " ")));
    }
    BOOST_TEST(parse_ctl_command_line(std::vector<std::string>{"--help"}).usage_error.empty());
    for (const std::string command : {"check", "put", "grant", "withdraw", "status", "drain", "explain"})
        BOOST_TEST(ctl_usage().find("  " + command) != std::string::npos, command);
}

// Guards against terminal escape sequences from a daemon's response in the text output, and against JSON output that
// cannot be parsed, for example because of invalid UTF-8.
BOOST_AUTO_TEST_CASE(output_is_escaped)
{
    const command_report report = message_report(exit_code::refused, "a\x1b[2Jb\xff");
    BOOST_TEST(output_text(report, false).find('\x1b') == std::string::npos);
    const json parsed = json::parse(output_text(report, true));
    BOOST_TEST(parsed["result"] == "refused");
    BOOST_TEST(to_readable_text(json{{"a", {1, 2}}, {"b", {{"c", nullptr}}}}) == "a: 1, 2\nb:\n  c: null\n");
}

BOOST_AUTO_TEST_CASE(line_difference_lists_changed_lines)
{
    struct difference_case {
        std::string first;
        std::string second;
        std::string difference;
    };
    for (const auto& [first, second, difference] : std::vector<difference_case>{
             {"", "", ""},
             {"a\nb\n", "a\nb", ""},
             {"", "a\n", "@@ line 1 @@\n+ a\n"},
             {"a\n", "", "@@ line 1 @@\n- a\n"},
             {"a\nb\nc\n", "a\nx\nc\n", "@@ line 2 @@\n- b\n+ x\n"},
             {"a\nb\nc\nd\n", "b\nc\ne\nd\n", "@@ line 1 @@\n- a\n@@ line 4 @@\n+ e\n"},
         })
        BOOST_TEST(line_difference(first, second) == difference);
}

} // namespace mulberry
