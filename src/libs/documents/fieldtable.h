#pragma once

#include "libs/base/time.h"
#include "libs/documents/fieldvalue.h"
#include "libs/documents/units.h"

#include <cmath>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

namespace mulberry::detail {

/// Description of a key that does not depend on the type in which its value is stored.
struct field_info {
    std::string key;
    value_kind kind = value_kind::text;
    /// Unit, format or permitted values, as shown in the reference.
    std::string unit;
    bool required = false;
    /// Default, written as in the document. If it is empty and the key is missing, the member keeps its initial value.
    std::string default_text;
    std::string meaning;
};

/// A key of a table and the function that validates its value and stores it in the target. The function returns an
/// error message, or an empty string if the value is valid.
template <typename Target>
struct field {
    field_info info;
    std::function<std::string(Target&, const field_value&)> set;
};

template <typename Target>
using field_table = std::vector<field<Target>>;

/// Marks a field as required; such a field has no default.
template <typename Target>
field<Target> required(field<Target> entry)
{
    entry.info.required = true;
    return entry;
}

/// Checks a text and returns an error message, or an empty string if the text is valid.
using text_check = std::string (*)(std::string_view);

template <typename Target>
field<Target> text_field(std::string key, std::string unit, std::string default_text, std::string Target::*member,
                         text_check check, std::string meaning)
{
    return {{std::move(key), value_kind::text, std::move(unit), false, std::move(default_text), std::move(meaning)},
            [member, check](Target& target, const field_value& value) {
                target.*member = std::get<std::string>(value);
                return check(target.*member);
            }};
}

template <typename Target>
field<Target> flag_field(std::string key, bool default_value, bool Target::*member, std::string meaning)
{
    return {{std::move(key), value_kind::flag, "true or false", false, default_value ? "true" : "false",
             std::move(meaning)},
            [member](Target& target, const field_value& value) {
                target.*member = std::get<bool>(value);
                return std::string();
            }};
}

template <typename Target>
field<Target> integer_field(std::string key, std::string unit, std::string default_text, std::uint32_t Target::*member,
                            std::uint32_t minimum, std::uint32_t maximum, std::string meaning)
{
    return {{std::move(key), value_kind::integer, fmt::format("{}, {} to {}", unit, minimum, maximum), false,
             std::move(default_text), std::move(meaning)},
            [=](Target& target, const field_value& value) {
                const auto number = std::get<std::int64_t>(value);
                if (number < minimum || number > maximum)
                    return fmt::format("must be from {} to {}, not {}", minimum, maximum, number);
                target.*member = static_cast<std::uint32_t>(number);
                return std::string();
            }};
}

template <typename Target>
field<Target> number_field(std::string key, std::string unit, double Target::*member, double minimum, double maximum,
                           std::string meaning)
{
    return {{std::move(key),
             value_kind::number,
             fmt::format("{}, {} to {}", unit, minimum, maximum),
             false,
             {},
             std::move(meaning)},
            [=](Target& target, const field_value& value) {
                const double number = std::get<double>(value);
                // The negated condition also rejects NaN.
                if (!(number >= minimum && number <= maximum))
                    return fmt::format("must be from {} to {}, not {}", minimum, maximum, number);
                target.*member = number;
                return std::string();
            }};
}

template <typename Target>
field<Target> duration_field(std::string key, std::string default_text, duration Target::*member, duration minimum,
                             duration maximum, std::string meaning)
{
    const std::string range = fmt::format("{} to {}", duration_text(minimum), duration_text(maximum));
    return {{std::move(key), value_kind::text, "time with unit (us, ms, s, min, h), " + range, false,
             std::move(default_text), std::move(meaning)},
            [=](Target& target, const field_value& value) {
                const auto& text = std::get<std::string>(value);
                const auto interval = parse_duration(text);
                if (!interval) {
                    return fmt::format("must be a whole number with a unit of time (us, ms, s, min, h), not \"{}\"",
                                       text);
                }
                if (*interval < minimum || *interval > maximum)
                    return fmt::format("must be from {}, not \"{}\"", range, text);
                target.*member = *interval;
                return std::string();
            }};
}

template <typename Target>
field<Target> size_field(std::string key, std::string default_text, std::size_t Target::*member, std::uint64_t minimum,
                         std::uint64_t maximum, std::string meaning)
{
    const std::string range = fmt::format("{} to {}", size_text(minimum), size_text(maximum));
    return {{std::move(key), value_kind::text, "size with unit (B, KiB, MiB), " + range, false, std::move(default_text),
             std::move(meaning)},
            [=](Target& target, const field_value& value) {
                const auto& text = std::get<std::string>(value);
                const auto bytes = parse_size(text);
                if (!bytes)
                    return fmt::format("must be a whole number with a unit of size (B, KiB, MiB), not \"{}\"", text);
                if (*bytes < minimum || *bytes > maximum)
                    return fmt::format("must be from {}, not \"{}\"", range, text);
                target.*member = *bytes;
                return std::string();
            }};
}

/// Applies the check to each element and reports the first error.
template <typename Target>
field<Target> list_field(std::string key, std::string unit, std::vector<std::string> Target::*member, text_check check,
                         std::string meaning)
{
    return {{std::move(key), value_kind::text_list, "list, each: " + unit, false, {}, std::move(meaning)},
            [member, check](Target& target, const field_value& value) {
                target.*member = std::get<std::vector<std::string>>(value);
                for (const std::string& element : target.*member) {
                    if (std::string fault = check(element); !fault.empty())
                        return fault;
                }
                return std::string();
            }};
}

/// Stores the given values in the target, and the defaults for keys without a value. Adds an error for each invalid
/// value and each missing required key. The prefix is prepended to the keys in these errors; a missing key is reported
/// with the given file and line.
template <typename Target>
void apply_fields(Target& target, const field_table<Target>& fields, const parsed_values& values,
                  std::string_view prefix, std::string_view file, std::uint32_t line,
                  std::vector<document_error>& errors)
{
    for (const field<Target>& entry : fields) {
        const field_info& info = entry.info;
        const std::string key = std::string(prefix) + info.key;
        if (const auto it = values.find(info.key); it != values.end()) {
            if (!it->second.value)
                continue;
            if (std::string fault = entry.set(target, *it->second.value); !fault.empty())
                errors.push_back({it->second.file, it->second.line, key, std::move(fault)});
        }
        else if (info.required) {
            errors.push_back({std::string(file), line, key, "is missing"});
        }
        else if (!info.default_text.empty()) {
            entry.set(target, *value_from_text(info.kind, info.default_text));
        }
    }
}

/// Returns the descriptions of all fields in a table, without their setters.
template <typename Target>
std::vector<field_info> field_infos(const field_table<Target>& fields)
{
    std::vector<field_info> infos;
    for (const field<Target>& entry : fields)
        infos.push_back(entry.info);
    return infos;
}

/// Returns a Markdown table with the columns name, unit, default and meaning.
std::string reference_table(std::span<const field_info> fields);

} // namespace mulberry::detail
