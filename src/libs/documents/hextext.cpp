#include "libs/documents/hextext.h"

#include <sodium.h>

namespace mulberry::detail {

std::string to_hex(std::span<const std::uint8_t> bytes)
{
    std::string text(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

bool from_hex(std::string_view text, std::span<std::uint8_t> bytes)
{
    if (text.size() != bytes.size() * 2)
        return false;
    std::size_t length = 0;
    const int status = sodium_hex2bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &length, nullptr);
    return status == 0 && length == bytes.size();
}

} // namespace mulberry::detail
