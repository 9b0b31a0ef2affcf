#include "libs/http/httpfields.h"

#include <algorithm>
#include <array>

namespace mulberry {

namespace {

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool is_token_char(char c)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const char lower = to_lower(c);
    return (lower >= 'a' && lower <= 'z') || (c >= '0' && c <= '9') || marks.find(c) != std::string_view::npos;
}

} // namespace

std::string_view find_header(const http_headers& headers, std::string_view name)
{
    const auto found =
        std::ranges::find_if(headers, [name](const auto& field) { return detail::is_same_name(field.first, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

std::size_t held_bytes(const http_headers& headers)
{
    // Two strings of a vector, and a node of the library that reads or writes the message.
    constexpr std::size_t field_overhead_bytes = 160;
    std::size_t bytes = 0;
    for (const auto& [name, value] : headers)
        bytes += name.size() + value.size() + field_overhead_bytes;
    return bytes;
}

namespace detail {

bool is_same_name(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, to_lower, to_lower);
}

bool is_token(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, is_token_char);
}

bool is_field_value(std::string_view text)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    return std::ranges::none_of(
        text, [](unsigned char c) { return (c < first_printable && c != '\t') || c == delete_character; });
}

bool is_connection_field(std::string_view name)
{
    constexpr std::array<std::string_view, 7> names{
        "connection", "content-length", "transfer-encoding", "keep-alive", "upgrade", "proxy-connection", "expect"};
    return std::ranges::any_of(names, [name](std::string_view other) { return is_same_name(name, other); });
}

bool is_framing_field(std::string_view name)
{
    return is_same_name(name, "content-length") || is_same_name(name, "transfer-encoding");
}

body_framing framing_of(const http_headers& headers)
{
    body_framing framing = body_framing::none;
    for (const auto& [name, value] : headers) {
        if (!is_framing_field(name))
            continue;
        const bool is_length = is_same_name(name, "content-length");
        if (framing != body_framing::none)
            return body_framing::contradictory;
        const bool digits = !value.empty() && std::ranges::all_of(value, [](char c) { return c >= '0' && c <= '9'; });
        if (is_length && digits) {
            framing = body_framing::length;
        }
        else if (!is_length && is_same_name(value, "chunked")) {
            framing = body_framing::chunked;
        }
        else {
            return body_framing::contradictory;
        }
    }
    return framing;
}

} // namespace detail

} // namespace mulberry
