#include "libs/documents/tablereader.h"

#include <algorithm>
#include <tuple>

namespace mulberry::detail {

namespace {

/// Equals the maximum size of a value in the store.
constexpr std::size_t max_document_bytes = 1'000'000;

} // namespace

table_reader::table_reader(const toml::table& table, std::string file, std::string prefix,
                           std::vector<document_error>& errors)
    : m_table(&table), m_file(std::move(file)), m_prefix(std::move(prefix)), m_errors(errors)
{
}

std::uint32_t table_reader::line() const
{
    return m_prefix.empty() ? 0 : m_table->source().begin.line;
}

std::uint32_t table_reader::line_of(std::string_view key) const
{
    const toml::node* node = m_table->get(key);
    return node == nullptr ? line() : node->source().begin.line;
}

void table_reader::report(std::string_view key, std::string message)
{
    m_errors.push_back({m_file, line_of(key), m_prefix + std::string(key), std::move(message)});
}

void table_reader::report_type(const toml::node& node, std::string_view key, value_kind kind)
{
    m_errors.push_back(
        {m_file, node.source().begin.line, m_prefix + std::string(key), fmt::format("must be a {}", describe(kind))});
}

std::optional<field_value> table_reader::list_of(const toml::node& node, const field_info& info)
{
    if (const auto* single = node.as_string())
        return std::vector<std::string>{single->get()};
    const toml::array* array = node.as_array();
    if (array == nullptr) {
        report_type(node, info.key, value_kind::text_list);
        return std::nullopt;
    }
    std::vector<std::string> list;
    for (std::size_t i = 0; i < array->size(); ++i) {
        const toml::node& element = (*array)[i];
        if (const auto* text = element.as_string()) {
            list.push_back(text->get());
            continue;
        }
        report_type(element, fmt::format("{}[{}]", info.key, i), value_kind::text);
    }
    if (list.size() != array->size())
        return std::nullopt;
    return list;
}

std::optional<field_value> table_reader::value_of(const toml::node& node, const field_info& info)
{
    switch (info.kind) {
    case value_kind::text:
        if (const auto* text = node.as_string())
            return text->get();
        break;
    case value_kind::integer:
        if (const auto* integer = node.as_integer())
            return integer->get();
        break;
    case value_kind::number:
        if (const auto* integer = node.as_integer())
            return static_cast<double>(integer->get());
        if (const auto* number = node.as_floating_point())
            return number->get();
        break;
    case value_kind::flag:
        if (const auto* flag = node.as_boolean())
            return flag->get();
        break;
    case value_kind::text_list:
        return list_of(node, info);
    }
    report_type(node, info.key, info.kind);
    return std::nullopt;
}

parsed_values table_reader::collect(std::span<const field_info> fields, std::span<const std::string_view> nested_keys)
{
    parsed_values values;
    for (const auto& [toml_key, node] : *m_table) {
        const std::string_view key = toml_key.str();
        if (std::ranges::find(nested_keys, key) != nested_keys.end())
            continue;
        const auto info = std::ranges::find(fields, key, &field_info::key);
        if (info == fields.end()) {
            m_errors.push_back(
                {m_file, toml_key.source().begin.line, m_prefix + std::string(key), "is not a known key"});
            continue;
        }
        values.emplace(key, parsed_value{value_of(node, *info), m_file, node.source().begin.line});
    }
    return values;
}

std::vector<table_reader> table_reader::sub_tables(std::string_view key)
{
    std::vector<table_reader> readers;
    const toml::node* node = m_table->get(key);
    if (node == nullptr)
        return readers;
    const toml::array* array = node->as_array();
    if (array == nullptr) {
        report(key, fmt::format("must be a list of tables, written [[{}]]", key));
        return readers;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const std::string prefix = fmt::format("{}{}[{}]", m_prefix, key, i);
        if (const toml::table* table = (*array)[i].as_table()) {
            readers.emplace_back(*table, m_file, prefix + ".", m_errors);
            continue;
        }
        m_errors.push_back({m_file, (*array)[i].source().begin.line, prefix, "must be a table"});
    }
    return readers;
}

std::optional<toml::table> parse_toml(std::string_view text, std::string_view file, std::vector<document_error>& errors)
{
    if (text.size() > max_document_bytes) {
        errors.push_back({std::string(file), 0, {}, fmt::format("is longer than {} bytes", max_document_bytes)});
        return std::nullopt;
    }
    try {
        return toml::parse(text, file);
    }
    catch (const toml::parse_error& error) {
        errors.push_back({std::string(file), error.source().begin.line, {}, std::string(error.description())});
        return std::nullopt;
    }
}

document_errors sort_by_line(std::vector<document_error> errors)
{
    std::ranges::stable_sort(errors, {}, [](const document_error& error) { return std::tie(error.file, error.line); });
    return {std::move(errors)};
}

} // namespace mulberry::detail
