#pragma once

#include <algorithm>
#include <cstddef>
#include <string>

namespace mulberry {

/// Makes room in a buffer for bytes that have arrived, of a message of `expected_bytes` in all or less. Memory is
/// requested for what has arrived and not for what is announced. A long message gets its whole address range at once,
/// of which the system provides only what is written, so its bytes are not copied while it grows.
inline void make_room(std::string& buffer, std::size_t additional_bytes, std::size_t expected_bytes)
{
    constexpr std::size_t long_message_bytes = std::size_t{1024} * 1024;
    const std::size_t needed = buffer.size() + additional_bytes;
    if (needed <= buffer.capacity())
        return;
    const std::size_t expected = std::max(needed, expected_bytes);
    buffer.reserve(needed < long_message_bytes ? std::min(2 * needed, expected) : expected);
}

} // namespace mulberry
