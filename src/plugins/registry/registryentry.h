#pragma once

#include "plugins/membership/member.h"

#include <optional>
#include <string>
#include <string_view>

namespace mulberry {

/// Encodes a node as the value of its entry in the store.
std::string encode_registry_entry(const member& node);

/// Decodes the value of a node's entry; empty if it is invalid.
std::optional<member> decode_registry_entry(std::string_view name, std::string_view value);

} // namespace mulberry
