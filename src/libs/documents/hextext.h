#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace mulberry::detail {

/// Lower-case hex digits.
std::string to_hex(std::span<const std::uint8_t> bytes);

/// Reads exactly as many bytes as the span holds; false for any other text.
bool from_hex(std::string_view text, std::span<std::uint8_t> bytes);

} // namespace mulberry::detail
