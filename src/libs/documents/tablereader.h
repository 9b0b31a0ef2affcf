#pragma once

#include "libs/documents/fieldtable.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

namespace mulberry::detail {

/// Reads the keys of one TOML table and collects the errors found in them.
class table_reader {
public:
    /// The prefix is prepended to the keys of this table in error messages, for example "routes[2].".
    table_reader(const toml::table& table, std::string file, std::string prefix, std::vector<document_error>& errors);

    /// Checks the types of the values, reports unknown keys and fills the target. The nested keys refer to tables that
    /// are read with sub_tables; they are skipped here.
    template <typename Target>
    void read(Target& target, const field_table<Target>& fields, std::span<const std::string_view> nested_keys)
    {
        const std::vector<field_info> infos = field_infos(fields);
        apply_fields(target, fields, collect(infos, nested_keys), m_prefix, m_file, line(), m_errors);
    }

    /// Returns the values of the known keys. Unknown keys and values of the wrong type are reported.
    parsed_values collect(std::span<const field_info> fields, std::span<const std::string_view> nested_keys);

    /// Returns readers for the tables of an array of tables, such as [[routes]]. Returns none if the key does not
    /// exist.
    std::vector<table_reader> sub_tables(std::string_view key);

    /// Adds an error for a key of this table.
    void report(std::string_view key, std::string message);

    /// Returns the line of the key, or that of the table if the key does not exist.
    std::uint32_t line_of(std::string_view key) const;

    /// Returns the line at which the table starts, or 0 for the root table of the document.
    std::uint32_t line() const;

private:
    std::optional<field_value> value_of(const toml::node& node, const field_info& info);
    std::optional<field_value> list_of(const toml::node& node, const field_info& info);
    void report_type(const toml::node& node, std::string_view key, value_kind kind);

    const toml::table* m_table;
    std::string m_file;
    std::string m_prefix;
    std::vector<document_error>& m_errors;
};

/// Parses TOML text. Adds an error and returns nullopt if the text is too long or has a syntax error.
std::optional<toml::table> parse_toml(std::string_view text, std::string_view file,
                                      std::vector<document_error>& errors);

/// Sorts the errors by file and line, which is the order in which an operator corrects them.
document_errors sort_by_line(std::vector<document_error> errors);

} // namespace mulberry::detail
