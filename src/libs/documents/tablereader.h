#pragma once

#include "libs/documents/fieldtable.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

namespace mulberry::detail {

/// Reads the keys of one TOML table and collects what is wrong with them.
class table_reader {
public:
    /// The prefix is that of the table's keys in messages, such as "routes[2].".
    table_reader(const toml::table& table, std::string file, std::string prefix, std::vector<document_error>& errors);

    /// Checks the types of the values, reports unknown keys and fills the target. Keys of nested tables, which are read
    /// with sub_tables, are known.
    template <typename Target>
    void read(Target& target, const field_table<Target>& fields, std::span<const std::string_view> nested_keys)
    {
        const std::vector<field_info> infos = infos_of(fields);
        apply_fields(target, fields, collect(infos, nested_keys), m_prefix, m_file, line(), m_errors);
    }

    /// Values of the known keys. Unknown keys and values of the wrong type are reported.
    found_values collect(std::span<const field_info> fields, std::span<const std::string_view> nested_keys);

    /// Readers for the tables of a list of tables such as [[routes]]; empty if the key does not exist.
    std::vector<table_reader> sub_tables(std::string_view key);

    /// Adds a fault of a key of this table.
    void report(std::string_view key, std::string message);

    /// Line of the key, or of the table if the key does not exist.
    std::uint32_t line_of(std::string_view key) const;

    /// Line at which the table starts; 0 for the document itself.
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

/// Parses TOML text; a syntax error or a text that is too long is added to the errors.
std::optional<toml::table> parse_toml(std::string_view text, std::string_view file,
                                      std::vector<document_error>& errors);

/// Sorts by file and line, the order in which an operator corrects them.
document_errors sorted(std::vector<document_error> errors);

} // namespace mulberry::detail
