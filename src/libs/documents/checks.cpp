#include "libs/documents/checks.h"

#include "libs/documents/endpoints.h"
#include "libs/documents/pathpattern.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace mulberry::detail {

namespace {

constexpr std::size_t max_name_length = 63;
constexpr std::array<std::string_view, 7> methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

/// "mulberry" is the first path segment of the daemon's own resources. "organisations" is the name of the organisations
/// document, which is stored next to the service documents.
constexpr std::array<std::string_view, 2> reserved_service_names{"mulberry", "organisations"};

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

} // namespace

std::string check_name(std::string_view text)
{
    const bool valid = !text.empty() && text.size() <= max_name_length &&
                       std::ranges::all_of(text, is_name_character) && text.front() != '-' && text.back() != '-';
    if (valid)
        return {};
    return fmt::format("must be 1 to {} lower-case letters, digits and inner hyphens, not \"{}\"", max_name_length,
                       text);
}

std::string check_service_name(std::string_view text)
{
    if (std::ranges::find(reserved_service_names, text) != reserved_service_names.end())
        return fmt::format("must not be \"{}\", which is reserved", text);
    return check_name(text);
}

std::string check_method(std::string_view text)
{
    if (std::ranges::find(methods, text) != methods.end())
        return {};
    return fmt::format("must be one of {}, not \"{}\"", fmt::join(methods, ", "), text);
}

std::string check_pattern(std::string_view text)
{
    return pattern_error(text);
}

std::string check_base_url(std::string_view text)
{
    constexpr std::string_view plain = "http://";
    constexpr std::string_view secure = "https://";
    std::string_view rest;
    for (const std::string_view scheme : {plain, secure}) {
        if (text.starts_with(scheme))
            rest = text.substr(scheme.size());
    }
    const auto endpoint = parse_endpoint(rest);
    if (endpoint && endpoint->port != 0)
        return {};
    return fmt::format("must have the form http://address:port or https://address:port, not \"{}\"", text);
}

std::string check_any_text(std::string_view /*text*/)
{
    return {};
}

} // namespace mulberry::detail
