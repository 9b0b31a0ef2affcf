#pragma once

#include "libs/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry {

/// Parses a whole number followed by us, ms, s, min or h, such as "800ms". Returns nullopt for other texts and on
/// overflow.
std::optional<duration> parse_duration(std::string_view text);

/// Parses a decimal number followed by ms or s, such as "2.5s", and rounds it to milliseconds. Returns nullopt for
/// other texts and above 10^9 seconds.
std::optional<duration> parse_decimal_duration(std::string_view text);

/// Returns the form that parse_duration reads, in the largest unit that gives a whole number.
std::string duration_text(duration interval);

/// Parses a whole number followed by B, KiB or MiB, such as "64KiB". Returns nullopt for other texts and on overflow.
std::optional<std::uint64_t> parse_size(std::string_view text);

/// Returns the form that parse_size reads, in the largest unit that gives a whole number.
std::string size_text(std::uint64_t bytes);

} // namespace mulberry
