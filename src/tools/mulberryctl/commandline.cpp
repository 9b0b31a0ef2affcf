#include "tools/mulberryctl/commandline.h"

#include "libs/documents/units.h"

#include <algorithm>
#include <array>
#include <sstream>

#include <boost/program_options.hpp>
#include <fmt/format.h>

namespace mulberry {

namespace {

namespace po = boost::program_options;

struct command_info {
    std::string_view name;
    std::string_view arguments;
    std::size_t min_arguments = 0;
    std::size_t max_arguments = 0;
    bool needs_daemon = true;
    std::string_view description;
};

constexpr std::size_t unlimited_arguments = 1000;
constexpr std::array commands{
    command_info{"check", "FILE...", 1, unlimited_arguments, false,
                 "Checks documents and settings files; needs no daemon."},
    command_info{"reference", "", 0, 0, false, "Shows every key of the documents and of the settings file."},
    command_info{"get", "NAME", 1, 1, true, "Shows a document and, on standard error, its revision."},
    command_info{"put", "NAME FILE --revision N", 2, 2, true,
                 "Replaces the document that has revision N; 0 for a new document."},
    command_info{"grant", "ORGANISATION", 1, 1, true, "Creates a key for an organisation and shows it once."},
    command_info{"withdraw", "ORGANISATION KEY-ID", 2, 2, true, "Withdraws a key."},
    command_info{"status", "", 0, 0, true, "Shows the state of the daemon and its view of the fleet."},
    command_info{"drain", "", 0, 0, true, "Starts the planned stop of the daemon."},
    command_info{"explain", "REQUEST-ID", 1, 1, true, "Shows how a request was decided and why."},
};

const command_info* find_command(std::string_view name)
{
    const auto found = std::ranges::find(commands, name, &command_info::name);
    return found == commands.end() ? nullptr : &*found;
}

po::options_description visible_options()
{
    po::options_description options("Options");
    auto add = options.add_options();
    add("help", po::bool_switch(), "Shows this text.");
    add("json", po::bool_switch(), "Writes one JSON object to standard output.");
    add("daemon", po::value<std::string>(), "Base URL of a daemon's operators' API (default http://127.0.0.1:8603).");
    add("credential-file", po::value<std::string>(), "File with the bearer credential.");
    add("ca-file", po::value<std::string>(), "PEM certificates of the authorities for https.");
    add("timeout", po::value<std::string>(), "Time limit of a call, such as 10s (default).");
    add("revision", po::value<std::int64_t>(), "put: revision that the change is based on.");
    add("key-id", po::value<std::string>(), "grant: id of the new key; generated if not given.");
    add("wait", po::value<std::string>(),
        "put, grant, withdraw: maximum wait for confirmations (default 7s, withdraw 3s).");
    return options;
}

duration duration_option(const po::variables_map& variables, const char* name)
{
    const auto& text = variables[name].as<std::string>();
    const auto interval = parse_duration(text);
    if (!interval)
        throw std::invalid_argument(fmt::format("--{}: \"{}\" is not a time with a unit", name, text));
    return *interval;
}

void read_options(const po::variables_map& variables, ctl_command_line& parsed)
{
    const auto read = [&](const char* name, std::string& target) {
        if (variables.contains(name))
            target = variables[name].as<std::string>();
    };
    parsed.help = variables["help"].as<bool>();
    parsed.json = variables["json"].as<bool>();
    read("daemon", parsed.daemon_url);
    read("credential-file", parsed.credential_file);
    read("ca-file", parsed.ca_file);
    read("key-id", parsed.key_id);
    if (variables.contains("timeout"))
        parsed.timeout = duration_option(variables, "timeout");
    if (variables.contains("wait"))
        parsed.wait = duration_option(variables, "wait");
    if (variables.contains("revision"))
        parsed.revision = variables["revision"].as<std::int64_t>();
    if (variables.contains("words")) {
        parsed.arguments = variables["words"].as<std::vector<std::string>>();
        parsed.command = parsed.arguments.front();
        parsed.arguments.erase(parsed.arguments.begin());
    }
}

/// Describes what is wrong with the command, its arguments and its options together; empty if they are valid.
std::string command_error(const ctl_command_line& parsed)
{
    if (parsed.command.empty())
        return "a command is missing";
    const command_info* info = find_command(parsed.command);
    if (info == nullptr)
        return fmt::format("\"{}\" is not a known command", parsed.command);
    if (parsed.arguments.size() < info->min_arguments || parsed.arguments.size() > info->max_arguments) {
        return fmt::format("{}: wrong number of arguments, usage: {} {}", parsed.command, parsed.command,
                           info->arguments);
    }
    if (parsed.command == "put" && !parsed.revision)
        return "put needs --revision, so that a concurrent change is not overwritten; get shows the revision";
    if (parsed.revision && *parsed.revision < 0)
        return "--revision must not be negative";
    if (info->needs_daemon && parsed.credential_file.empty())
        return fmt::format("{} needs --credential-file", parsed.command);
    return {};
}

} // namespace

bool needs_daemon(std::string_view command)
{
    const command_info* info = find_command(command);
    return info != nullptr && info->needs_daemon;
}

ctl_command_line parse_ctl_command_line(std::span<const std::string> arguments)
{
    ctl_command_line parsed;
    po::options_description options;
    options.add(visible_options()).add_options()("words", po::value<std::vector<std::string>>());
    po::positional_options_description positional;
    positional.add("words", -1);
    constexpr int style = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
    try {
        po::variables_map variables;
        po::store(po::command_line_parser(std::vector(arguments.begin(), arguments.end()))
                      .options(options)
                      .positional(positional)
                      .style(style)
                      .run(),
                  variables);
        read_options(variables, parsed);
    }
    catch (const std::exception& error) {
        parsed.usage_error = error.what();
        return parsed;
    }
    if (!parsed.help)
        parsed.usage_error = command_error(parsed);
    return parsed;
}

std::string ctl_usage()
{
    std::ostringstream text;
    text << "Usage: mulberryctl [options] COMMAND ...\n\nCommands:\n";
    for (const command_info& info : commands)
        text << fmt::format("  {:34}{}\n", fmt::format("{} {}", info.name, info.arguments), info.description);
    text << "\n"
         << visible_options()
         << "\nExit codes: 0 ok, 2 usage, 3 refused, 4 conflict, 5 unreachable or outcome unknown.\n";
    return text.str();
}

} // namespace mulberry
