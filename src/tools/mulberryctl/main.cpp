#include "libs/base/textfile.h"
#include "libs/documents/documentreference.h"
#include "tools/mulberryctl/checkcommand.h"
#include "tools/mulberryctl/commandline.h"
#include "tools/mulberryctl/daemoncommands.h"

#include <cstdio>
#include <thread>

#include <curl/curl.h>
#include <fmt/format.h>

namespace {

using namespace mulberry;

/// Returns the first line of the credential file without surrounding whitespace; empty if the file cannot be read.
std::string read_credential(const std::string& file)
{
    const std::string text = read_text_file(file).value_or("");
    const std::string line = text.substr(0, text.find('\n'));
    const std::size_t begin = line.find_first_not_of(" \t\r");
    if (begin == std::string::npos)
        return {};
    return line.substr(begin, line.find_last_not_of(" \t\r") - begin + 1);
}

command_report run(const ctl_command_line& line)
{
    if (!line.usage_error.empty())
        return message_report(exit_code::usage, line.usage_error + "; --help shows the commands");
    if (line.command == "reference")
        return {exit_code::ok, reference_page(), {}, {{"reference", reference_page()}}};
    if (!needs_daemon(line.command))
        return check_files(line.arguments);
    const std::string credential = read_credential(line.credential_file);
    if (credential.empty())
        return message_report(exit_code::usage, line.credential_file + ": no credential can be read");
    http_caller caller(line.daemon_url, line.timeout, line.ca_file);
    const auto wait = [](duration pause) { std::this_thread::sleep_for(pause); };
    operators_api api(caller, credential, wait);
    daemon_commands commands(api, wait);
    return commands.run(line);
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const ctl_command_line line = parse_ctl_command_line(arguments);
    if (line.help && line.usage_error.empty()) {
        fmt::print("{}", ctl_usage());
        return 0;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const command_report report = run(line);
    const bool failed = report.code != exit_code::ok;
    fmt::print(failed && !line.json ? stderr : stdout, "{}", output_text(report, line.json));
    if (!line.json)
        fmt::print(stderr, "{}", report.stderr_text);
    return static_cast<int>(report.code);
}
