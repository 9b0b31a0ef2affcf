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

/// Returns the index of the line after the table that begins at the line with index `begin`. The next table begins at a
/// line that starts with `next_header`; blank lines and comments directly above it belong to the next table.
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

/// Indexes of an organisation and one of its keys. They are the same in the parsed document and in the TOML tree.
struct key_position {
    std::size_t organisation = 0;
    std::size_t key = 0;
};

/// Returns the index of the line at which the table of the organisation begins, or that of the key if `of_key` is set.
/// Lines are numbered from 0. Returns nullopt if the element is not written as a [[...]] table.
std::optional<std::size_t> line_of(std::string_view text, const key_position& position, bool of_key)
{
    std::vector<document_error> errors;
    const auto table = detail::parse_toml(text, {}, errors);
    if (!table)
        return std::nullopt;
    const toml::table* table_node = (*table)["organisations"][position.organisation].as_table();
    if (table_node != nullptr && of_key)
        table_node = (*table_node)["keys"][position.key].as_table();
    if (table_node == nullptr || table_node->is_inline() || table_node->source().begin.line == 0)
        return std::nullopt;
    return table_node->source().begin.line - 1;
}

/// Returns the edited text if it parses to the expected document, otherwise a new text generated from this document.
std::string verify_or_rewrite(std::string edited, const organisations_document& expected)
{
    const auto parsed = parse_organisations_document(edited, {});
    return parsed && *parsed == expected ? std::move(edited) : to_toml(expected);
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
    text_lines lines = split_lines(text);
    const std::string added = fmt::format("\n[[organisations.keys]]\nid = \"{}\"\nsalt = \"{}\"\nhash = \"{}\"", key.id,
                                          detail::to_hex(key.salt), detail::to_hex(key.hash));
    const std::size_t end = end_of_table(lines, *line, "[[organisations]]");
    lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(end), added);
    return verify_or_rewrite(join(lines), *document);
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
    const key_position position{static_cast<std::size_t>(owner - document->organisations.begin()),
                                static_cast<std::size_t>(key - owner->keys.begin())};
    owner->keys.erase(key);
    const auto line = line_of(text, position, true);
    if (!line)
        return to_toml(*document);
    text_lines lines = split_lines(text);
    const std::size_t end = end_of_table(lines, *line, "[");
    lines.erase(lines.begin() + static_cast<std::ptrdiff_t>(*line), lines.begin() + static_cast<std::ptrdiff_t>(end));
    return verify_or_rewrite(join(lines), *document);
}

} // namespace mulberry
