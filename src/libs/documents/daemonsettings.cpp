#include "libs/documents/daemonsettings.h"

#include "libs/base/asyncerror.h"
#include "libs/base/textfile.h"
#include "libs/documents/checks.h"
#include "libs/documents/endpointfield.h"
#include "libs/documents/tablereader.h"

#include <algorithm>
#include <array>
#include <sstream>

#include <boost/program_options.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;
namespace po = boost::program_options;

constexpr std::string_view command_line_name = "command line";
constexpr std::string_view memory_store_name = "memory";
constexpr std::uint64_t mebibyte = 1024ULL * 1024;

std::string set_seeds(daemon_settings& target, const detail::field_value& value)
{
    for (const std::string& text : std::get<std::vector<std::string>>(value)) {
        const std::size_t at = std::min(text.find('@'), text.size());
        const std::string name = text.substr(0, at);
        const auto endpoint = parse_endpoint(std::string_view(text).substr(std::min(at + 1, text.size())));
        if (!detail::check_name(name).empty() || !endpoint || endpoint->port == 0)
            return fmt::format("must have the form node@address:port, not \"{}\"", text);
        target.seeds.push_back({name, *endpoint});
    }
    return {};
}

std::string set_store(daemon_settings& target, const detail::field_value& value)
{
    const auto& list = std::get<std::vector<std::string>>(value);
    if (list.empty())
        return fmt::format("must be \"{}\" or at least one URL", memory_store_name);
    if (list.size() == 1 && list.front() == memory_store_name) {
        target.store_in_memory = true;
        return {};
    }
    for (const std::string& url : list) {
        if (std::string fault = detail::check_base_url(url); !fault.empty())
            return fault;
    }
    target.store_endpoints = list;
    return {};
}

std::string set_second_signal(daemon_settings& target, const detail::field_value& value)
{
    const auto& text = std::get<std::string>(value);
    if (text != "ignore" && text != "cut")
        return fmt::format("must be ignore or cut, not \"{}\"", text);
    target.second_signal = text == "cut" ? second_signal_action::cut : second_signal_action::ignore;
    return {};
}

std::string set_log_level_field(daemon_settings& target, const detail::field_value& value)
{
    const auto& text = std::get<std::string>(value);
    const auto level = log_level_from_string(text);
    if (!level)
        return fmt::format("must be debug, info, warning, error or off, not \"{}\"", text);
    target.level = *level;
    return {};
}

detail::field<daemon_settings> file_field(std::string key, std::string daemon_settings::*member, std::string meaning)
{
    return detail::text_field(std::move(key), "file", "", member, detail::check_any_text, std::move(meaning));
}

void add_identity_fields(detail::field_table<daemon_settings>& fields)
{
    using settings = daemon_settings;
    fields.push_back(required(detail::text_field("node_name", "name", "", &settings::node_name, detail::check_name,
                                                 "Name of the node, unique in the fleet.")));
    fields.push_back(required(detail::text_field("failure_domain", "name", "", &settings::failure_domain,
                                                 detail::check_name, "Failure domain, unique across regions.")));
    fields.push_back(
        detail::list_field("failure_domains", "name", &settings::failure_domains, detail::check_name,
                           "All failure domains of the deployment; only the daemon's own one if the list is empty."));
    fields.push_back(
        required(detail::text_field("region", "name", "", &settings::region, detail::check_name, "Region.")));
    fields.push_back(required(detail::text_field("service", "name", "", &settings::service, detail::check_service_name,
                                                 "Service of the upstream beside the daemon.")));
    fields.push_back(required(detail::text_field("upstream_url", "http://address:port", "", &settings::upstream_url,
                                                 detail::check_base_url, "Base URL of the upstream.")));
}

void add_listen_fields(detail::field_table<daemon_settings>& fields)
{
    using settings = daemon_settings;
    fields.push_back(detail::endpoint_field("callers_listen", "0.0.0.0:8600", &settings::callers_listen,
                                            "Where callers connect. Port 0 of a listener lets the system choose."));
    fields.push_back(detail::endpoint_field("nested_listen", "127.0.0.1:8601", &settings::nested_listen,
                                            "Where the upstream sends its nested calls."));
    fields.push_back(detail::endpoint_field("peers_listen", "", &settings::peers_listen,
                                            "Where other daemons connect; without it the daemon has no peers."));
    fields.push_back(detail::endpoint_field("peers_advertised", "", &settings::peers_advertised,
                                            "Where other daemons reach this one; `peers_listen` if it is not given."));
    fields.push_back(detail::endpoint_field("operators_listen", "", &settings::operators_listen,
                                            "Where mulberryctl connects; without it the operators' API is off."));
    fields.push_back(file_field("operator_credential_file", &settings::operator_credential_file,
                                "File with the bearer credential of the operators' API. Required with "
                                "`operators_listen`."));
    fields.push_back(detail::integer_field("caller_connections", "connections", "1000", &settings::caller_connections,
                                           1, 100'000, "Maximum number of concurrent connections from callers."));
    fields.push_back(detail::integer_field("upstream_connections", "connections", "256",
                                           &settings::upstream_connections, 1, 10'000,
                                           "Maximum number of concurrent connections to the upstream."));
    fields.push_back(detail::size_field("header_cap", "64KiB", &settings::header_cap_bytes, 1024, mebibyte,
                                        "Maximum total size of the headers of a request."));
}

void add_tls_fields(detail::field_table<daemon_settings>& fields)
{
    using settings = daemon_settings;
    fields.push_back(file_field("peer_ca_file", &settings::peer_ca_file,
                                "PEM certificate of the authority for daemons. Required with `peers_listen`."));
    fields.push_back(file_field("peer_certificate_file", &settings::peer_certificate_file,
                                "PEM certificate of this daemon. Required with `peers_listen`."));
    fields.push_back(file_field("peer_private_key_file", &settings::peer_private_key_file,
                                "PEM private key of this daemon. Required with `peers_listen`."));
}

void add_store_fields(detail::field_table<daemon_settings>& fields)
{
    using settings = daemon_settings;
    fields.push_back(required(detail::field<settings>{
        {"store", detail::value_kind::text_list, "`memory`, or a list of http://address:port", false, "",
         "Endpoints of the store's gateway in the order of use; `memory` keeps the store in the daemon, for a "
         "single machine."},
        set_store}));
    fields.push_back(detail::duration_field("store_timeout", "2s", &settings::store_timeout, 10ms, 1min,
                                            "Maximum duration of one call to the store."));
    fields.push_back({{"seeds", detail::value_kind::text_list, "list, each: node@address:port", false, "",
                       "Names and peer addresses of other daemons to join at the start."},
                      set_seeds});
    fields.push_back(detail::list_field("document_files", "file", &settings::document_files, detail::check_any_text,
                                        "Documents loaded at the start. Only with the store `memory`."));
}

void add_operation_fields(detail::field_table<daemon_settings>& fields)
{
    using settings = daemon_settings;
    fields.push_back(detail::duration_field(
        "drain_limit", "30s", &settings::drain_limit, 0us, 1h,
        "Maximum duration of a planned stop; requests that are still in flight then are aborted."));
    fields.push_back(
        {{"second_signal", detail::value_kind::text, "ignore or cut", false, "cut",
          "Effect of a second termination signal: the drain continues, or requests in flight are aborted."},
         set_second_signal});
    fields.push_back({{"log_level", detail::value_kind::text, "debug, info, warning, error or off", false, "info",
                       "Log lines below this level are not written."},
                      set_log_level_field});
    fields.push_back(detail::size_field(
        "message_memory", "64MiB", &settings::message_memory_bytes, 4 * mebibyte, 4096 * mebibyte,
        "Memory for requests and responses that are received, wait or have not been read by their receivers."));
    fields.push_back(detail::size_field("account_memory", "16MiB", &settings::account_memory_bytes, mebibyte,
                                        1024 * mebibyte, "Memory for decision records."));
    fields.push_back(detail::size_field("once_memory", "8MiB", &settings::idempotency_memory_bytes, 64ULL * 1024,
                                        1024 * mebibyte, "Memory for records of non-idempotent requests."));
}

/// Returns the table of all settings, from which the parser, the command line, the help text and the reference are
/// derived.
const detail::field_table<daemon_settings>& settings_fields()
{
    static const detail::field_table<daemon_settings> fields = [] {
        detail::field_table<daemon_settings> table;
        add_identity_fields(table);
        add_listen_fields(table);
        add_tls_fields(table);
        add_store_fields(table);
        add_operation_fields(table);
        return table;
    }();
    return fields;
}

bool is_wildcard(const std::string& address)
{
    return address == "0.0.0.0" || address == "::";
}

/// Checks the rules that relate settings to each other and fills in the default of the advertised address. If one key
/// requires another, the error is reported at the line of the key that has the requirement.
class settings_checker {
public:
    settings_checker(daemon_settings& settings, const detail::parsed_values& values, std::string_view file,
                     std::vector<document_error>& errors)
        : m_settings(settings), m_values(values), m_file(file), m_errors(errors)
    {
    }

    void check()
    {
        check_peers();
        check_failure_domains();
        if (is_enabled(m_settings.operators_listen))
            check_required("operators_listen", "operator_credential_file", m_settings.operator_credential_file);
        if (!m_settings.document_files.empty() && !m_settings.store_in_memory)
            report("document_files", "is allowed only with store = \"memory\"");
    }

private:
    static bool is_enabled(const network_endpoint& endpoint) { return !endpoint.address.empty(); }

    void check_peers()
    {
        if (!is_enabled(m_settings.peers_listen)) {
            if (!m_settings.seeds.empty())
                report("seeds", "needs peers_listen");
            if (is_enabled(m_settings.peers_advertised))
                report("peers_advertised", "needs peers_listen");
            return;
        }
        check_required("peers_listen", "peer_ca_file", m_settings.peer_ca_file);
        check_required("peers_listen", "peer_certificate_file", m_settings.peer_certificate_file);
        check_required("peers_listen", "peer_private_key_file", m_settings.peer_private_key_file);
        if (is_enabled(m_settings.peers_advertised)) {
            if (is_wildcard(m_settings.peers_advertised.address))
                report("peers_advertised", "must be an address that other daemons can reach");
            return;
        }
        if (is_wildcard(m_settings.peers_listen.address))
            report("peers_listen", "is a wildcard address and needs peers_advertised");
        m_settings.peers_advertised = m_settings.peers_listen;
    }

    void check_failure_domains()
    {
        std::vector<std::string>& domains = m_settings.failure_domains;
        if (domains.empty())
            domains.push_back(m_settings.failure_domain);
        if (std::ranges::find(domains, m_settings.failure_domain) == domains.end())
            report("failure_domains", "must contain failure_domain");
    }

    /// Reports an error if `key` is present without the key that it requires.
    void check_required(std::string_view key, std::string_view required_key, const std::string& required_value)
    {
        if (required_value.empty() && !m_values.contains(required_key))
            report(key, fmt::format("needs {}", required_key));
    }

    void report(std::string_view key, std::string message)
    {
        document_error error{std::string(m_file), 0, std::string(key), std::move(message)};
        if (const auto it = m_values.find(key); it != m_values.end()) {
            error.file = it->second.file;
            error.line = it->second.line;
        }
        m_errors.push_back(std::move(error));
    }

    daemon_settings& m_settings;
    const detail::parsed_values& m_values;
    std::string_view m_file;
    std::vector<document_error>& m_errors;
};

/// Reads the values of the known keys. Returns false after a syntax error, because no key can be read then.
bool read_settings_text(std::string_view text, std::string_view file, detail::parsed_values& values,
                        std::vector<document_error>& errors)
{
    const auto table = detail::parse_toml(text, file, errors);
    if (!table)
        return false;
    detail::table_reader reader(*table, std::string(file), "", errors);
    values = reader.collect(detail::field_infos(settings_fields()), {});
    return true;
}

leaf::result<daemon_settings> build_settings(const detail::parsed_values& values, std::string_view file,
                                             std::vector<document_error> errors)
{
    daemon_settings settings;
    detail::apply_fields(settings, settings_fields(), values, "", file, 0, errors);
    settings_checker(settings, values, file, errors).check();
    if (!errors.empty())
        return captured_error<daemon_settings>(detail::sort_by_line(std::move(errors)));
    return settings;
}

/// Returns the name of the command line option for a key.
std::string option_name(std::string key)
{
    std::ranges::replace(key, '_', '-');
    return key;
}

po::options_description command_line_options()
{
    po::options_description options("Options");
    auto add = options.add_options();
    add("help", "Shows this text.");
    add("settings-reference", "Shows the reference table of all settings.");
    add("settings", po::value<std::string>(), "Settings file; the options below override its keys.");
    for (const auto& [info, set] : settings_fields()) {
        std::string text = info.meaning + " (" + info.unit;
        if (!info.default_text.empty())
            text += "; default " + info.default_text;
        text += ")";
        add(option_name(info.key).c_str(), po::value<std::vector<std::string>>(), text.c_str());
    }
    return options;
}

void add_command_line_error(std::vector<document_error>& errors, std::string key, std::string message)
{
    errors.push_back({std::string(command_line_name), 0, std::move(key), std::move(message)});
}

/// Overrides the values of the file by those of the command line.
void apply_command_line(const po::variables_map& variables, detail::parsed_values& values,
                        std::vector<document_error>& errors)
{
    for (const auto& [info, set] : settings_fields()) {
        const auto it = variables.find(option_name(info.key));
        if (it == variables.end())
            continue;
        const auto& texts = it->second.as<std::vector<std::string>>();
        if (info.kind != detail::value_kind::text_list && texts.size() > 1) {
            add_command_line_error(errors, info.key, "is given more than once");
            continue;
        }
        std::optional<detail::field_value> value = texts;
        if (info.kind != detail::value_kind::text_list)
            value = detail::value_from_text(info.kind, texts.front());
        if (!value)
            add_command_line_error(errors, info.key, fmt::format("must be a {}", detail::describe(info.kind)));
        values.insert_or_assign(info.key, detail::parsed_value{std::move(value), std::string(command_line_name), 0});
    }
}

/// Parses the command line. Adds syntax errors to `errors` and then returns nullopt.
std::optional<po::variables_map> parse_arguments(std::span<const std::string> arguments,
                                                 const po::options_description& options,
                                                 std::vector<document_error>& errors)
{
    constexpr int style = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
    po::variables_map variables;
    try {
        po::parsed_options parsed = po::command_line_parser(std::vector(arguments.begin(), arguments.end()))
                                        .options(options)
                                        .style(style)
                                        .allow_unregistered()
                                        .run();
        for (const std::string& unknown : po::collect_unrecognized(parsed.options, po::include_positional))
            add_command_line_error(errors, unknown, "is not a known option");
        po::store(parsed, variables);
    }
    catch (const po::error& error) {
        add_command_line_error(errors, "", error.what());
        return std::nullopt;
    }
    return variables;
}

} // namespace

leaf::result<daemon_settings> parse_daemon_settings(std::string_view text, std::string_view file)
{
    std::vector<document_error> errors;
    detail::parsed_values values;
    if (!read_settings_text(text, file, values, errors))
        return captured_error<daemon_settings>(document_errors{std::move(errors)});
    return build_settings(values, file, std::move(errors));
}

leaf::result<daemon_command_line> parse_daemon_command_line(std::span<const std::string> arguments)
{
    std::vector<document_error> errors;
    const auto variables = parse_arguments(arguments, command_line_options(), errors);
    if (!variables)
        return captured_error<daemon_command_line>(document_errors{std::move(errors)});
    if (variables->contains("help"))
        return daemon_command_line{daemon_command_line::action::show_help, {}};
    if (variables->contains("settings-reference"))
        return daemon_command_line{daemon_command_line::action::show_settings_reference, {}};
    detail::parsed_values values;
    std::string file(command_line_name);
    if (variables->contains("settings")) {
        file = (*variables)["settings"].as<std::string>();
        const auto text = read_text_file(file);
        if (!text)
            errors.push_back({file, 0, "", "cannot be read"});
        if (!text || !read_settings_text(*text, file, values, errors))
            return captured_error<daemon_command_line>(document_errors{std::move(errors)});
    }
    apply_command_line(*variables, values, errors);
    leaf::result<daemon_settings> settings = build_settings(values, file, std::move(errors));
    if (!settings)
        return std::move(settings).error();
    return daemon_command_line{daemon_command_line::action::run, std::move(*settings)};
}

std::string settings_reference()
{
    return detail::reference_table(detail::field_infos(settings_fields()));
}

std::string daemon_usage()
{
    std::ostringstream text;
    text << "Usage: mulberryd [--settings FILE] [options]\n\n" << command_line_options();
    return text.str();
}

} // namespace mulberry
