#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry {

/// An address with a port. Port 0 lets the system choose one for a listener.
struct network_endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const network_endpoint&) const = default;
};

/// "address:port", with brackets around an IPv6 address.
std::string to_string(const network_endpoint& endpoint);

/// Reads "address:port", where an IPv6 address has brackets. Empty for any other text.
std::optional<network_endpoint> parse_endpoint(std::string_view text);

} // namespace mulberry
