#pragma once

#include <string>
#include <string_view>

namespace mulberry {

/// Returns the differing lines of two texts: "- " marks a line that only the first text has, "+ " one that only the
/// second text has. Each group of consecutive differences starts with "@@ line N @@", where N is the line number in the
/// first text. Returns an empty text if both have the same lines.
std::string line_difference(std::string_view first, std::string_view second);

} // namespace mulberry
