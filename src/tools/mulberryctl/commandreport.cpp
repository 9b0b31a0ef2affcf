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

bool is_flat(const json& value)
{
    return value.is_primitive() ||
           (value.is_array() && std::ranges::all_of(value, [](const json& element) { return element.is_primitive(); }));
}

std::string flat_text(const json& value)
{
    if (value.is_primitive())
        return scalar_text(value);
    std::vector<std::string> parts;
    for (const json& element : value)
        parts.push_back(scalar_text(element));
    return parts.empty() ? "none" : fmt::format("{}", fmt::join(parts, ", "));
}

/// The depth is bounded, because the value comes from the daemon.
void write_readable(const json& value, std::size_t depth, std::string& text)
{
    constexpr std::size_t deepest = 20;
    const std::string indent(depth * 2, ' ');
    if (is_flat(value) || depth == deepest) {
        text += indent + (is_flat(value) ? flat_text(value) : value.dump()) + "\n";
        return;
    }
    std::size_t number = 0;
    for (const auto& [name, member] : value.items()) {
        const std::string label = value.is_array() ? fmt::format("[{}]", ++number) : name;
        if (is_flat(member)) {
            text += fmt::format("{}{}: {}\n", indent, label, flat_text(member));
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

std::string readable(const json& value)
{
    std::string text;
    write_readable(value, 0, text);
    return text;
}

std::string printable(std::string text)
{
    for (char& c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if ((byte < 0x20 && c != '\n' && c != '\t') || byte == 0x7f)
            c = '?';
    }
    return text;
}

std::string output_of(const command_report& report, bool as_json)
{
    if (!as_json)
        return printable(report.text);
    json output = report.data;
    output["result"] = to_string(report.code);
    return output.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace mulberry
