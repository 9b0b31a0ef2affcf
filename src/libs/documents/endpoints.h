#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry {

/// An address with a port. For a listener, port 0 lets the system choose a free port.
struct network_endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const network_endpoint&) const = default;
};

/// Returns "address:port", with brackets around an IPv6 address.
std::string to_string(const network_endpoint& endpoint);

/// Parses "address:port", where an IPv6 address is written in brackets. Returns nullopt for any other text.
std::optional<network_endpoint> parse_endpoint(std::string_view text);

} // namespace mulberry
