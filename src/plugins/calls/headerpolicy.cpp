#include "plugins/calls/headerpolicy.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>
#include <vector>

namespace mulberry {

namespace {

constexpr std::array connection_fields{
    std::string_view("connection"), std::string_view("keep-alive"), std::string_view("proxy-connection"),
    std::string_view("te"),         std::string_view("trailer"),    std::string_view("transfer-encoding"),
    std::string_view("upgrade"),    std::string_view("host"),       std::string_view("content-length"),
    std::string_view("expect"),
};

constexpr std::array credential_fields{std::string_view("authorization"), std::string_view("proxy-authorization")};

std::string lower_case(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

void append_names(std::string_view list, std::vector<std::string>& names)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        names.push_back(lower_case(trim(list.substr(0, comma))));
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
}

std::vector<std::string> named_by_connection(const header_list& headers)
{
    std::vector<std::string> names;
    for (const auto& [name, value] : headers) {
        if (lower_case(name) == "connection")
            append_names(value, names);
    }
    return names;
}

} // namespace

std::string_view find_field(const header_list& headers, std::string_view name)
{
    const std::string wanted = lower_case(name);
    for (const auto& [field, value] : headers) {
        if (lower_case(field) == wanted)
            return value;
    }
    return {};
}

header_list forwardable(const header_list& headers)
{
    const std::vector<std::string> dropped = named_by_connection(headers);
    header_list kept;
    for (const auto& [name, value] : headers) {
        const std::string lower = lower_case(name);
        if (lower.starts_with(internal_header_prefix) || std::ranges::count(connection_fields, lower) > 0 ||
            std::ranges::count(credential_fields, lower) > 0 || std::ranges::count(dropped, lower) > 0)
            continue;
        kept.emplace_back(name, value);
    }
    return kept;
}

} // namespace mulberry
