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

/// Type of a key's value. A list of texts may also be written as a single text.
enum class value_kind : std::uint8_t { text, integer, number, flag, text_list };

/// Holds the alternative that belongs to the kind, in the order of value_kind.
using field_value = std::variant<std::string, std::int64_t, double, bool, std::vector<std::string>>;

/// A value with the place that it came from. No value means that its type is wrong and that this has been reported.
struct found_value {
    std::optional<field_value> value;
    std::string file;
    std::uint32_t line = 0;
};

/// Values by key.
using found_values = std::map<std::string, found_value, std::less<>>;

/// "a text", "a whole number" and so on, for messages and references.
std::string_view describe(value_kind kind);

/// Reads a value from text, as in defaults and arguments; a list is read as its only element. Empty if the text does
/// not have the form of the kind.
std::optional<field_value> value_from_text(value_kind kind, std::string_view text);

} // namespace mulberry::detail
