#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry::detail {

/// Returns an error message, or an empty string if the pattern is valid.
std::string pattern_error(std::string_view pattern);

/// Returns the percent-decoded segments of a request's path, without its query. Returns nullopt if an upstream could
/// resolve the path to a different one.
std::optional<std::vector<std::string>> path_segments(std::string_view path);

/// Returns whether the pattern, which must be valid, matches the segments.
bool matches(std::string_view pattern, const std::vector<std::string>& segments);

/// Returns whether the first pattern matches every path that the second one matches.
bool covers(std::string_view first, std::string_view second);

} // namespace mulberry::detail
