#pragma once

#include "libs/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry {

/// Reads a whole number followed by us, ms, s, min or h, such as "800ms". Empty for anything else and on overflow.
std::optional<duration> parse_duration(std::string_view text);

/// Reads a number with up to three decimals followed by ms or s, such as "2.5s". Empty for anything else.
std::optional<duration> parse_decimal_duration(std::string_view text);

/// The same form with the largest unit that needs no fraction.
std::string duration_text(duration interval);

/// Reads a whole number of bytes followed by B, KiB or MiB, such as "64KiB". Empty for anything else and on overflow.
std::optional<std::uint64_t> parse_size(std::string_view text);

/// The same form with the largest unit that needs no fraction.
std::string size_text(std::uint64_t bytes);

} // namespace mulberry
