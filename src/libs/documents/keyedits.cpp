#include "libs/documents/keyedits.h"

#include "libs/base/textfile.h"
#include "libs/documents/hextext.h"
#include "libs/documents/tablereader.h"

#include <algorithm>

namespace mulberry {

namespace {

using text_lines = std::vector<std::string_view>;

std::string join(const text_lines& lines)
{
    std::string text;
    for (const std::string_view line : lines) {
        text += line;
        text += '\n';
    }
    return text;
}

std::string_view without_indent(std::string_view line)
{
    const std::size_t begin = line.find_first_not_of(" \t\r");
    return begin == std::string_view::npos ? std::string_view() : line.substr(begin);
}

/// Line after the last one that belongs to the table that starts at a line: blank lines and comments right above the
/// next table belong to that one.
std::size_t end_of_table(const text_lines& lines, std::size_t begin, std::string_view next_header)
{
    std::size_t end = begin + 1;
    while (end < lines.size() && !without_indent(lines[end]).starts_with(next_header))
        ++end;
    if (end == lines.size())
        return end;
    while (end > begin + 1 &&
           (without_indent(lines[end - 1]).empty() || without_indent(lines[end - 1]).starts_with('#')))
        --end;
    return end;
}

/// Position in the document, so that the same element is found in the parsed text.
struct position {
    std::size_t organisation = 0;
    std::size_t key = 0;
};

/// Line of an organisation's table, or of one of its keys, counted from 0. Empty if it is not written as [[...]].
std::optional<std::size_t> line_of(std::string_view text, const position& place, bool of_key)
{
    std::vector<document_error> errors;
    const auto table = detail::parse_toml(text, {}, errors);
    if (!table)
        return std::nullopt;
    const toml::table* found = (*table)["organisations"][place.organisation].as_table();
    if (found != nullptr && of_key)
        found = (*found)["keys"][place.key].as_table();
    if (found == nullptr || found->is_inline() || found->source().begin.line == 0)
        return std::nullopt;
    return found->source().begin.line - 1;
}

/// The edited text if it has the meaning that was asked for, otherwise the document written anew.
std::string checked(std::string edited, const organisations_document& wanted)
{
    const auto parsed = parse_organisations_document(edited, {});
    return parsed && *parsed == wanted ? std::move(edited) : to_toml(wanted);
}

} // namespace

std::optional<std::string> add_key(std::string_view text, std::string_view organisation, const organisation_key& key)
{
    auto document = parse_organisations_document(text, {});
    if (!document)
        return std::nullopt;
    const auto owner = std::ranges::find(document->organisations, organisation, &mulberry::organisation::name);
    if (owner == document->organisations.end())
        return std::nullopt;
    owner->keys.push_back(key);
    const auto index = static_cast<std::size_t>(owner - document->organisations.begin());
    const auto line = line_of(text, {index, 0}, false);
    if (!line)
        return to_toml(*document);
    text_lines lines = lines_of(text);
    const std::string added = fmt::format("\n[[organisations.keys]]\nid = \"{}\"\nsalt = \"{}\"\nhash = \"{}\"", key.id,
                                          detail::to_hex(key.salt), detail::to_hex(key.hash));
    const std::size_t end = end_of_table(lines, *line, "[[organisations]]");
    lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(end), added);
    return checked(join(lines), *document);
}

std::optional<std::string> remove_key(std::string_view text, std::string_view organisation, std::string_view key_id)
{
    auto document = parse_organisations_document(text, {});
    if (!document)
        return std::nullopt;
    const auto owner = std::ranges::find(document->organisations, organisation, &mulberry::organisation::name);
    if (owner == document->organisations.end())
        return std::nullopt;
    const auto key = std::ranges::find(owner->keys, key_id, &organisation_key::id);
    if (key == owner->keys.end())
        return std::nullopt;
    const position place{static_cast<std::size_t>(owner - document->organisations.begin()),
                         static_cast<std::size_t>(key - owner->keys.begin())};
    owner->keys.erase(key);
    const auto line = line_of(text, place, true);
    if (!line)
        return to_toml(*document);
    text_lines lines = lines_of(text);
    const std::size_t end = end_of_table(lines, *line, "[");
    lines.erase(lines.begin() + static_cast<std::ptrdiff_t>(*line), lines.begin() + static_cast<std::ptrdiff_t>(end));
    return checked(join(lines), *document);
}

} // namespace mulberry
