#include "tools/mulberryctl/commandreport.h"

#include <algorithm>

#include <fmt/format.h>

namespace mulberry {

namespace {

using nlohmann::json;

std::string scalar_text(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

bool fits_one_line(const json& value)
{
    return value.is_primitive() ||
           (value.is_array() && std::ranges::all_of(value, [](const json& element) { return element.is_primitive(); }));
}

std::string one_line_text(const json& value)
{
    if (value.is_primitive())
        return scalar_text(value);
    std::vector<std::string> elements;
    for (const json& element : value)
        elements.push_back(scalar_text(element));
    return elements.empty() ? "none" : fmt::format("{}", fmt::join(elements, ", "));
}

/// Limits the recursion depth, because the daemon controls the nesting of the value. Deeper values are written as JSON.
void write_readable(const json& value, std::size_t depth, std::string& text)
{
    constexpr std::size_t max_depth = 20;
    const std::string indent(depth * 2, ' ');
    if (fits_one_line(value) || depth == max_depth) {
        text += indent + (fits_one_line(value) ? one_line_text(value) : value.dump()) + "\n";
        return;
    }
    std::size_t number = 0;
    for (const auto& [name, member] : value.items()) {
        const std::string label = value.is_array() ? fmt::format("[{}]", ++number) : name;
        if (fits_one_line(member)) {
            text += fmt::format("{}{}: {}\n", indent, label, one_line_text(member));
            continue;
        }
        text += fmt::format("{}{}:\n", indent, label);
        write_readable(member, depth + 1, text);
    }
}

} // namespace

std::string_view to_string(exit_code code)
{
    switch (code) {
    case exit_code::ok:
        return "ok";
    case exit_code::usage:
        return "usage";
    case exit_code::refused:
        return "refused";
    case exit_code::conflict:
        return "conflict";
    case exit_code::unreachable:
        return "unreachable";
    }
    return "invalid";
}

command_report message_report(exit_code code, std::string message)
{
    return {code, message + "\n", {}, json{{"message", message}}};
}

std::string to_readable_text(const json& value)
{
    std::string text;
    write_readable(value, 0, text);
    return text;
}

std::string replace_control_characters(std::string text)
{
    for (char& c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if ((byte < 0x20 && c != '\n' && c != '\t') || byte == 0x7f)
            c = '?';
    }
    return text;
}

std::string output_text(const command_report& report, bool as_json)
{
    if (!as_json)
        return replace_control_characters(report.text);
    json output = report.data;
    output["result"] = to_string(report.code);
    return output.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace mulberry
