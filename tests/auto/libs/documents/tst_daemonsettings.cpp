#include "libs/documents/daemonsettings.h"

#include "documentfaults.h"

#include <filesystem>
#include <fstream>

namespace mulberry {

namespace {

/// The six keys that a daemon on a single machine requires, on six lines.
const std::string single_machine_settings = R"(node_name = "node-1"
failure_domain = "quay"
region = "port-louis"
service = "orders"
upstream_url = "http://127.0.0.1:9000"
store = "memory"
)";

/// Four more lines, which enable the peer listener.
const std::string peer_settings = R"(peers_listen = "10.0.0.1:8602"
peer_ca_file = "ca.pem"
peer_certificate_file = "node.pem"
peer_private_key_file = "node.key"
)";

std::vector<document_error> faults(const std::string& text)
{
    return faults_of(parse_daemon_settings(text, "test.toml"));
}

/// Temporary settings file, which is removed on destruction.
class settings_file {
public:
    explicit settings_file(const std::string& text)
        : m_path(std::filesystem::temp_directory_path() / "tst_settings.toml")
    {
        std::ofstream(m_path) << text;
    }
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;
    ~settings_file() { std::filesystem::remove(m_path); }

    std::string name() const { return m_path.string(); }

private:
    std::filesystem::path m_path;
};

} // namespace

// Guards against a seventh required key and against changed defaults.
BOOST_AUTO_TEST_CASE(single_machine_settings_require_six_keys)
{
    const auto parsed = parse_daemon_settings(single_machine_settings, "test.toml");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->node_name == "node-1");
    BOOST_TEST(parsed->store_in_memory);
    BOOST_TEST(parsed->store_endpoints.empty());
    BOOST_TEST((parsed->drain_limit == std::chrono::seconds(30)));
    BOOST_TEST((parsed->second_signal == second_signal_action::cut));
    BOOST_TEST(parsed->account_memory_bytes == 16U * 1024 * 1024);
    BOOST_TEST(to_string(parsed->callers_listen) == "0.0.0.0:8600");
    BOOST_TEST(parsed->operators_listen.address.empty());
}

// Guards against keys that are accepted but not stored in the result.
BOOST_AUTO_TEST_CASE(fleet_settings_are_stored_in_the_result)
{
    const auto parsed = parse_daemon_settings(single_machine_settings.substr(0, single_machine_settings.find("store")) +
                                                  peer_settings + R"(
store = ["http://10.0.0.9:2379", "https://store.example:2379"]
failure_domains = ["floreal", "quay"]
seeds = ["node-2@10.0.0.2:8602", "node-3@[fd00::2]:8602"]
operators_listen = "[::1]:8603"
operator_credential_file = "credential"
second_signal = "ignore"
log_level = "debug"
store_timeout = "250ms"
header_cap = "8KiB"
)",
                                              "test.toml");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(!parsed->store_in_memory);
    BOOST_TEST(parsed->store_endpoints.size() == 2U);
    BOOST_REQUIRE(parsed->seeds.size() == 2U);
    BOOST_TEST(parsed->seeds[1].endpoint.address == "fd00::2");
    BOOST_TEST(to_string(parsed->seeds[1].endpoint) == "[fd00::2]:8602");
    BOOST_TEST((parsed->peers_advertised == parsed->peers_listen));
    BOOST_TEST(parsed->operators_listen.port == 8603);
    BOOST_TEST((parsed->second_signal == second_signal_action::ignore));
    BOOST_TEST((parsed->level == log_level::debug));
    BOOST_TEST(parsed->header_cap_bytes == 8192U);
}

// Guards against invalid settings being accepted or reported with the wrong line or key.
BOOST_AUTO_TEST_CASE(errors_name_line_and_key)
{
    const std::string without_store = single_machine_settings.substr(0, single_machine_settings.find("store"));
    const std::vector<fault_case> cases{
        {without_store, 0, "store", "is missing"},
        {without_store + "store = \"10.0.0.9:2379\"\n", 6, "store", "http://address:port"},
        {without_store + "store = []\n", 6, "store", "memory"},
        {without_store + "store = [\"memory\", \"http://10.0.0.9:2379\"]\n", 6, "store", "http://address:port"},
        {without_store + "store = \"http://10.0.0.9:2379/v3\"\n", 6, "store", "http://address:port"},
        {without_store + "store = \"http://a@b:2379\"\n", 6, "store", "http://address:port"},
        {single_machine_settings + "drain_limit = 30\n", 7, "drain_limit", "text"},
        {single_machine_settings + "drain_limit = \"30\"\n", 7, "drain_limit", "unit of time"},
        {single_machine_settings + "drain_limit = \"2h\"\n", 7, "drain_limit", "1h"},
        {single_machine_settings + "callers_listen = \":8600\"\n", 7, "callers_listen", "address:port"},
        {single_machine_settings + "callers_listen = \"0.0.0.0:65536\"\n", 7, "callers_listen", "address:port"},
        {single_machine_settings + "callers_listen = \"::1:80\"\n", 7, "callers_listen", "address:port"},
        {single_machine_settings + "caller_connections = 0\n", 7, "caller_connections", "from 1"},
        {single_machine_settings + "log_level = \"trace\"\n", 7, "log_level", "trace"},
        {single_machine_settings + "second_signal = \"exit\"\n", 7, "second_signal", "exit"},
        {single_machine_settings + "drainlimit = \"1s\"\n", 7, "drainlimit", "not a known key"},
        {single_machine_settings + "seeds = [\"node-2@10.0.0.2:8602\"]\n", 7, "seeds", "needs peers_listen"},
        {single_machine_settings + peer_settings + "seeds = [\"node-2@10.0.0.2:0\"]\n", 11, "seeds", "address:port"},
        {single_machine_settings + peer_settings + "seeds = [\"10.0.0.2:8602\"]\n", 11, "seeds", "node@address:port"},
        {single_machine_settings + "failure_domains = [\"floreal\"]\n", 7, "failure_domains", "must contain"},
        {single_machine_settings + peer_settings.substr(0, peer_settings.find("peer_private")), 7, "peers_listen",
         "peer_private_key_file"},
        {single_machine_settings + peer_settings + "peers_advertised = \"0.0.0.0:1\"\n", 11, "peers_advertised",
         "reach"},
        {single_machine_settings + "operators_listen = \"127.0.0.1:1\"\n", 7, "operators_listen",
         "operator_credential_file"},
        {single_machine_settings + "server_private_key_file = \"k\"\n", 7, "server_private_key_file",
         "not a known key"},
        {without_store + "store = \"http://a:1\"\ndocument_files = [\"a\"]\n", 7, "document_files", "memory"},
        {"node_name = \"a.b\"\n" + single_machine_settings.substr(single_machine_settings.find("failure")), 1,
         "node_name", "lower-case"},
        {single_machine_settings + "node_name = \"node-2\"\n", 7, "", ""},
    };
    for (const fault_case& expected : cases)
        check_fault(faults(expected.text), expected);
}

// Guards against a daemon that advertises a wildcard address, at which other daemons cannot reach it.
BOOST_AUTO_TEST_CASE(wildcard_peer_address_requires_advertised_address)
{
    std::string text = single_machine_settings + peer_settings;
    text.replace(text.find("10.0.0.1"), 8, "0.0.0.0");
    check_fault(faults(text), {text, 7, "peers_listen", "needs peers_advertised"});
    BOOST_TEST(faults(text + "peers_advertised = \"10.0.0.1:8602\"\n").empty());
}

// Guards against options of the command line that do not override the settings file, or that extend its lists.
BOOST_AUTO_TEST_CASE(command_line_overrides_settings_file)
{
    const settings_file file(single_machine_settings + "log_level = \"debug\"\n" + peer_settings +
                             "seeds = [\"node-2@10.0.0.2:1\"]\n");
    const std::vector<std::string> arguments{
        "--settings",        file.name(), "--log-level=error", "--node-name",   "node-2", "--seeds",
        "node-3@10.0.0.3:1", "--seeds",   "node-4@10.0.0.4:1", "--drain-limit", "5s"};
    const auto parsed = parse_daemon_command_line(arguments);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((parsed->requested_action == daemon_command_line::action::run));
    BOOST_TEST(parsed->settings.node_name == "node-2");
    BOOST_TEST((parsed->settings.level == log_level::error));
    BOOST_TEST((parsed->settings.drain_limit == std::chrono::seconds(5)));
    BOOST_REQUIRE(parsed->settings.seeds.size() == 2U);
    BOOST_TEST(parsed->settings.seeds[0].endpoint.address == "10.0.0.3");
}

// Guards against invalid arguments that are accepted as abbreviations, ignored, or reported without their name.
BOOST_AUTO_TEST_CASE(invalid_arguments_are_reported)
{
    struct argument_case {
        std::vector<std::string> arguments;
        std::string file;
        std::string key;
    };
    const settings_file file(single_machine_settings);
    const std::vector<argument_case> cases{
        {{"--no-such-option"}, "command line", "--no-such-option"},
        {{"extra"}, "command line", "extra"},
        {{"--log-lev", "error"}, "command line", "--log-lev"},
        {{"--log-level", "loud"}, "command line", "log_level"},
        {{"--caller-connections", "many"}, "command line", "caller_connections"},
        {{"--node-name", "a", "--node-name", "b"}, "command line", "node_name"},
        {{"--node-name"}, "command line", ""},
    };
    for (const argument_case& expected : cases) {
        std::vector<std::string> arguments{"--settings", file.name()};
        arguments.insert(arguments.end(), expected.arguments.begin(), expected.arguments.end());
        const auto errors = faults_of(parse_daemon_command_line(arguments));
        BOOST_TEST_CONTEXT(expected.arguments.front() << "\n" << to_string(document_errors{errors}))
        {
            BOOST_REQUIRE(!errors.empty());
            BOOST_TEST(errors.front().file == expected.file);
            BOOST_TEST(errors.front().key == expected.key);
        }
    }
    const auto errors = faults_of(parse_daemon_command_line(std::vector<std::string>{"--settings", "missing.toml"}));
    BOOST_REQUIRE(errors.size() == 1U);
    BOOST_TEST(to_string(errors.front()) == "missing.toml: cannot be read");
}

// Guards against --help failing because required settings are missing.
BOOST_AUTO_TEST_CASE(help_requires_no_settings)
{
    const auto help = parse_daemon_command_line(std::vector<std::string>{"--help"});
    BOOST_REQUIRE(help.has_value());
    BOOST_TEST((help->requested_action == daemon_command_line::action::show_help));
    BOOST_TEST(daemon_usage().find("--drain-limit") != std::string::npos);
    BOOST_TEST(settings_reference().find("| `drain_limit` | time with unit") != std::string::npos);
}

} // namespace mulberry
