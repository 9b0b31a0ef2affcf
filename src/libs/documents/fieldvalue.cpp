#include "libs/documents/fieldvalue.h"

#include <charconv>

namespace mulberry::detail {

namespace {

template <typename Number>
std::optional<field_value> number_from_text(std::string_view text)
{
    Number number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace

std::string_view describe(value_kind kind)
{
    switch (kind) {
    case value_kind::text:
        return "text";
    case value_kind::integer:
        return "whole number";
    case value_kind::number:
        return "number";
    case value_kind::flag:
        return "boolean (true or false)";
    case value_kind::text_list:
        return "list of texts";
    }
    return "invalid";
}

std::optional<field_value> value_from_text(value_kind kind, std::string_view text)
{
    switch (kind) {
    case value_kind::text:
        return std::string(text);
    case value_kind::integer:
        return number_from_text<std::int64_t>(text);
    case value_kind::number:
        return number_from_text<double>(text);
    case value_kind::flag:
        if (text == "true" || text == "false")
            return text == "true";
        return std::nullopt;
    case value_kind::text_list:
        return std::vector<std::string>{std::string(text)};
    }
    return std::nullopt;
}

} // namespace mulberry::detail
