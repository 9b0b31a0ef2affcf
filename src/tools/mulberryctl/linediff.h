#pragma once

#include <string>
#include <string_view>

namespace mulberry {

/// The lines that differ, with "- " for those only in the first text and "+ " for those only in the second, in groups
/// that start with "@@ line N @@", the line in the first text. Empty if the texts have the same lines.
std::string line_difference(std::string_view first, std::string_view second);

} // namespace mulberry
