#include "plugins/calls/headerpolicy.h"

#include <algorithm>
#include <array>
#include <span>
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

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

void append_names(std::string_view list, std::vector<std::string_view>& names)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        names.push_back(trim(list.substr(0, comma)));
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
}

std::vector<std::string_view> fields_listed_in_connection(const header_list& headers)
{
    std::vector<std::string_view> names;
    for (const auto& [name, value] : headers) {
        if (detail::is_same_name(name, "connection"))
            append_names(value, names);
    }
    return names;
}

bool is_one_of(std::string_view name, std::span<const std::string_view> names)
{
    return std::ranges::any_of(names, [name](std::string_view other) { return detail::is_same_name(name, other); });
}

bool is_internal(std::string_view name)
{
    return detail::is_same_name(name.substr(0, internal_header_prefix.size()), internal_header_prefix);
}

} // namespace

header_list forwardable_headers(const header_list& headers)
{
    const std::vector<std::string_view> listed_in_connection = fields_listed_in_connection(headers);
    header_list forwarded;
    for (const auto& field : headers) {
        const std::string_view name = field.first;
        if (!is_internal(name) && !is_one_of(name, connection_fields) && !is_one_of(name, credential_fields) &&
            !is_one_of(name, listed_in_connection))
            forwarded.push_back(field);
    }
    return forwarded;
}

header_list forwardable_headers(const header_list& headers, const field_names& names)
{
    header_list forwarded = forwardable_headers(headers);
    const std::array node_fields{std::string_view(names.deadline),        std::string_view(names.organisation),
                                 std::string_view(names.calling_service), std::string_view(names.importance),
                                 std::string_view(names.context),         std::string_view(names.expected_instance)};
    std::erase_if(forwarded, [&](const auto& field) { return is_one_of(field.first, node_fields); });
    return forwarded;
}

} // namespace mulberry
