#pragma once

#include <optional>
#include <string>

namespace mulberry {

/// The whole content of a file; empty if it cannot be read.
std::optional<std::string> read_text_file(const std::string& name);

} // namespace mulberry
