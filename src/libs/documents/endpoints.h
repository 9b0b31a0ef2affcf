#pragma once

#include "libs/documents/daemonsettings.h"

#include <optional>
#include <string_view>

namespace mulberry {

/// Reads "address:port", where an IPv6 address has brackets. Empty for any other text.
std::optional<network_endpoint> parse_endpoint(std::string_view text);

} // namespace mulberry
