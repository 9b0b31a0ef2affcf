#pragma once

#include "libs/base/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// The parsed command line of mulberryctl.
struct ctl_command_line {
    std::string command;
    std::vector<std::string> arguments;
    std::string daemon_url = "http://127.0.0.1:8603";
    std::string credential_file;
    std::string ca_file;
    duration timeout{std::chrono::seconds(10)};
    bool json = false;
    bool help = false;
    /// Store revision that the change is based on; 0 for a new document.
    std::optional<std::int64_t> revision;
    /// Id of a new key; generated if empty.
    std::string key_id;
    /// Maximum time to wait for the nodes to confirm an accepted change; unset for the command's default.
    std::optional<duration> wait;
    /// Describes what is wrong with the arguments; empty if they are valid.
    std::string usage_error;
};

/// Parses and validates the arguments, which do not include the program's name.
ctl_command_line parse_ctl_command_line(std::span<const std::string> arguments);

/// Returns the text that --help prints.
std::string ctl_usage();

/// Returns whether the command calls the operators' API of a daemon; false for an unknown command.
bool needs_daemon(std::string_view command);

} // namespace mulberry
