#pragma once

#include "libs/documents/documenterrors.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mulberry::detail {

/// Type of a key's value. A list with one element may also be written as a single text.
enum class value_kind : std::uint8_t { text, integer, number, flag, text_list };

/// A value of any kind. The alternatives are in the order of value_kind.
using field_value = std::variant<std::string, std::int64_t, double, bool, std::vector<std::string>>;

/// A value with its location in the source. The value is empty if it has the wrong type, which has then been reported
/// already.
struct parsed_value {
    std::optional<field_value> value;
    std::string file;
    std::uint32_t line = 0;
};

/// Values by key.
using parsed_values = std::map<std::string, parsed_value, std::less<>>;

/// Returns the name of the kind for error messages, such as "whole number".
std::string_view describe(value_kind kind);

/// Parses a value from text, as used for defaults and command line arguments. For a list, the text is its only element.
/// Returns nullopt if the text is not a value of this kind.
std::optional<field_value> value_from_text(value_kind kind, std::string_view text);

} // namespace mulberry::detail
