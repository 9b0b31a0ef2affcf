#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// The whole content of a file; empty if it cannot be read.
std::optional<std::string> read_text_file(const std::string& name);

/// The lines of a text without their ends. A line end at the end of the text begins no further line.
std::vector<std::string_view> lines_of(std::string_view text);

} // namespace mulberry
