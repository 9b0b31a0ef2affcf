#include "libs/documents/pathpattern.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace mulberry::detail {

namespace {

constexpr std::string_view segment_wildcard = "*";
constexpr std::string_view trailing_wildcard = "**";

/// Returns the segments after the leading slash; "/" has no segments.
std::vector<std::string_view> split_path(std::string_view path)
{
    std::vector<std::string_view> segments;
    path.remove_prefix(1);
    while (!path.empty()) {
        const std::size_t slash = path.find('/');
        segments.push_back(path.substr(0, slash));
        if (slash == std::string_view::npos)
            return segments;
        path.remove_prefix(slash + 1);
        if (path.empty())
            segments.emplace_back();
    }
    return segments;
}

/// Percent-decodes a text. Returns nullopt if an escape is invalid.
std::optional<std::string> decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        if (i + 2 >= text.size())
            return std::nullopt;
        unsigned char byte = 0;
        const char* digits = text.data() + i + 1;
        const auto [end, error] = std::from_chars(digits, digits + 2, byte, 16);
        if (error != std::errc{} || end != digits + 2)
            return std::nullopt;
        decoded += static_cast<char>(byte);
        i += 2;
    }
    return decoded;
}

bool is_control(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte < 0x20 || byte == 0x7f;
}

/// Returns whether an upstream may interpret the decoded segment as something other than a plain name.
bool is_ambiguous(std::string_view segment)
{
    return segment.empty() || segment == "." || segment == ".." ||
           std::ranges::any_of(segment, [](char c) { return c == '/' || c == '\\' || is_control(c); });
}

} // namespace

std::string pattern_error(std::string_view pattern)
{
    if (!pattern.starts_with('/'))
        return fmt::format("must start with \"/\", not \"{}\"", pattern);
    const std::vector<std::string_view> segments = split_path(pattern);
    for (std::size_t i = 0; i < segments.size(); ++i) {
        const std::string_view segment = segments[i];
        if (segment == segment_wildcard || (segment == trailing_wildcard && i + 1 == segments.size()))
            continue;
        if (segment == trailing_wildcard)
            return "may have \"**\" only as the last segment";
        if (segment.find('*') != std::string_view::npos)
            return fmt::format("may have \"*\" only as a whole segment, not in \"{}\"", segment);
        if (is_ambiguous(segment))
            return "must not have empty, \".\" or \"..\" segments, backslashes or control characters";
        if (segment.find_first_of("%?#") != std::string_view::npos)
            return fmt::format("must not contain percent escapes, a query or a fragment, as in \"{}\"", segment);
    }
    return {};
}

std::optional<std::vector<std::string>> path_segments(std::string_view path)
{
    path = path.substr(0, path.find('?'));
    if (!path.starts_with('/') || path.find('#') != std::string_view::npos)
        return std::nullopt;
    std::vector<std::string> segments;
    for (const std::string_view raw : split_path(path)) {
        auto segment = decode(raw);
        if (!segment || is_ambiguous(*segment))
            return std::nullopt;
        segments.push_back(std::move(*segment));
    }
    return segments;
}

bool matches(std::string_view pattern, const std::vector<std::string>& segments)
{
    const std::vector<std::string_view> pattern_segments = split_path(pattern);
    for (std::size_t i = 0; i < pattern_segments.size(); ++i) {
        if (pattern_segments[i] == trailing_wildcard)
            return true;
        if (i >= segments.size() || (pattern_segments[i] != segment_wildcard && pattern_segments[i] != segments[i]))
            return false;
    }
    return pattern_segments.size() == segments.size();
}

bool covers(std::string_view first, std::string_view second)
{
    const std::vector<std::string_view> outer = split_path(first);
    const std::vector<std::string_view> inner = split_path(second);
    for (std::size_t i = 0; i < outer.size(); ++i) {
        if (outer[i] == trailing_wildcard)
            return true;
        if (i >= inner.size() || inner[i] == trailing_wildcard)
            return false;
        if (outer[i] != segment_wildcard && outer[i] != inner[i])
            return false;
    }
    return outer.size() == inner.size();
}

} // namespace mulberry::detail
