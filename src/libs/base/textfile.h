#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// Returns the content of a file, or nullopt if it cannot be read.
std::optional<std::string> read_text_file(const std::string& name);

/// Splits a text into lines without their newline characters. A trailing newline does not add an empty line.
std::vector<std::string_view> split_lines(std::string_view text);

} // namespace mulberry
