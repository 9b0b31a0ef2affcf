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
    /// Revision that the change is based on; 0 for a new document.
    std::optional<std::int64_t> revision;
    /// Id for a new key; chosen if empty.
    std::string key_id;
    /// Longest wait for confirmations of an accepted change; the command's own default if not given.
    std::optional<duration> wait;
    /// What is wrong with the arguments; empty if nothing.
    std::string fault;
};

ctl_command_line parse_ctl_command_line(std::span<const std::string> arguments);

/// Text of --help.
std::string ctl_usage();

/// Whether the command needs a daemon.
bool needs_daemon(std::string_view command);

} // namespace mulberry
