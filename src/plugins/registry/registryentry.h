#pragma once

#include "plugins/membership/member.h"

#include <optional>
#include <string>
#include <string_view>

namespace mulberry {

/// Value of a node's entry in the store.
std::string encode_registry_entry(const member& node);

/// Empty if the bytes are no entry of a node.
std::optional<member> decode_registry_entry(std::string_view name, std::string_view value);

} // namespace mulberry
