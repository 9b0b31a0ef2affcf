#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace mulberry::detail {

/// Returns the bytes as lower-case hexadecimal digits.
std::string to_hex(std::span<const std::uint8_t> bytes);

/// Decodes hexadecimal digits into the span. Returns false unless the text consists of exactly two digits per byte.
bool from_hex(std::string_view text, std::span<std::uint8_t> bytes);

} // namespace mulberry::detail
