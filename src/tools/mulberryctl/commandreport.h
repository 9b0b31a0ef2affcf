#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace mulberry {

/// Exit codes of mulberryctl. Scripts depend on the numbers.
enum class exit_code : std::uint8_t { ok = 0, usage = 2, refused = 3, conflict = 4, unreachable = 5 };

std::string_view to_string(exit_code code);

/// Result of a command: its text output, and the JSON object that replaces it with --json.
struct command_report {
    exit_code code = exit_code::ok;
    std::string text;
    /// Additional text for standard error when the text output is meant for a file. It is not printed with --json.
    std::string stderr_text;
    nlohmann::json data = nlohmann::json::object();
};

/// Makes a report with a single message, which is the member "message" of the JSON output.
command_report message_report(exit_code code, std::string message);

/// Formats any JSON value as indented "name: value" lines.
std::string to_readable_text(const nlohmann::json& value);

/// Replaces control characters other than line feeds and tabs by question marks, because the terminal could interpret
/// them as escape sequences.
std::string replace_control_characters(std::string text);

/// Returns the main output of the program for the report, as text or as JSON. It ends with a line feed.
std::string output_text(const command_report& report, bool as_json);

} // namespace mulberry
