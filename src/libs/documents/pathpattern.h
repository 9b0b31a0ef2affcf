#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry::detail {

/// What is wrong with the text as a pattern; empty for a valid pattern.
std::string fault_of_pattern(std::string_view pattern);

/// The percent-decoded segments of a request's path without its query. Empty if the path is one that an upstream could
/// resolve to another path.
std::optional<std::vector<std::string>> path_segments(std::string_view path);

/// Whether a valid pattern matches the segments.
bool matches(std::string_view pattern, const std::vector<std::string>& segments);

/// Whether every path that the second pattern matches is also matched by the first.
bool covers(std::string_view first, std::string_view second);

} // namespace mulberry::detail
