#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace mulberry {

/// Exit codes of mulberryctl, part of its interface for scripts.
enum class exit_code : std::uint8_t { ok = 0, usage = 2, refused = 3, conflict = 4, unreachable = 5 };

std::string_view to_string(exit_code code);

/// What a command has to say: text for people, or JSON with --json.
struct command_report {
    exit_code code = exit_code::ok;
    std::string text;
    /// Text for standard error beside an output that is meant for a file; empty with --json.
    std::string note;
    nlohmann::json data = nlohmann::json::object();
};

/// A report that consists of a message; the JSON form has it as "message".
command_report message_report(exit_code code, std::string message);

/// Indented "name: value" lines for any JSON value.
std::string readable(const nlohmann::json& value);

/// Replaces control characters other than line feeds and tabs, which could steer the terminal.
std::string printable(std::string text);

/// The one output of the program for the report, ended by a line feed.
std::string output_of(const command_report& report, bool as_json);

} // namespace mulberry
