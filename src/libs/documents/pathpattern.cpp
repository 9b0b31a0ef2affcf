#include "libs/documents/pathpattern.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace mulberry::detail {

namespace {

constexpr std::string_view any_segment = "*";
constexpr std::string_view any_rest = "**";

/// Segments after the leading slash; "/" has none.
std::vector<std::string_view> split(std::string_view path)
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

/// Whether an upstream may treat the decoded segment as something other than a plain name.
bool is_ambiguous(std::string_view segment)
{
    return segment.empty() || segment == "." || segment == ".." ||
           std::ranges::any_of(segment, [](char c) { return c == '/' || c == '\\' || is_control(c); });
}

} // namespace

std::string fault_of_pattern(std::string_view pattern)
{
    if (!pattern.starts_with('/'))
        return fmt::format("must start with \"/\", not \"{}\"", pattern);
    const std::vector<std::string_view> segments = split(pattern);
    for (std::size_t i = 0; i < segments.size(); ++i) {
        const std::string_view segment = segments[i];
        if (segment == any_segment || (segment == any_rest && i + 1 == segments.size()))
            continue;
        if (segment == any_rest)
            return "may have \"**\" only as the last segment";
        if (segment.find('*') != std::string_view::npos)
            return fmt::format("may have \"*\" only as a whole segment, not in \"{}\"", segment);
        if (is_ambiguous(segment))
            return "must not have empty, \".\" or \"..\" segments, backslashes or control characters";
        if (segment.find_first_of("%?#") != std::string_view::npos)
            return fmt::format("is written without escapes, query and fragment, not as \"{}\"", segment);
    }
    return {};
}

std::optional<std::vector<std::string>> path_segments(std::string_view path)
{
    path = path.substr(0, path.find('?'));
    if (!path.starts_with('/') || path.find('#') != std::string_view::npos)
        return std::nullopt;
    std::vector<std::string> segments;
    for (const std::string_view raw : split(path)) {
        auto segment = decode(raw);
        if (!segment || is_ambiguous(*segment))
            return std::nullopt;
        segments.push_back(std::move(*segment));
    }
    return segments;
}

bool matches(std::string_view pattern, const std::vector<std::string>& segments)
{
    const std::vector<std::string_view> parts = split(pattern);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (parts[i] == any_rest)
            return true;
        if (i >= segments.size() || (parts[i] != any_segment && parts[i] != segments[i]))
            return false;
    }
    return parts.size() == segments.size();
}

bool covers(std::string_view first, std::string_view second)
{
    const std::vector<std::string_view> outer = split(first);
    const std::vector<std::string_view> inner = split(second);
    for (std::size_t i = 0; i < outer.size(); ++i) {
        if (outer[i] == any_rest)
            return true;
        if (i >= inner.size() || inner[i] == any_rest)
            return false;
        if (outer[i] != any_segment && outer[i] != inner[i])
            return false;
    }
    return outer.size() == inner.size();
}

} // namespace mulberry::detail
