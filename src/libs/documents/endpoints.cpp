#include "libs/documents/endpoints.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace mulberry {

namespace {

bool is_alphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool is_host(std::string_view text)
{
    return !text.empty() &&
           std::ranges::all_of(text, [](char c) { return is_alphanumeric(c) || c == '.' || c == '-'; });
}

bool is_ipv6(std::string_view text)
{
    return text.find(':') != std::string_view::npos &&
           std::ranges::all_of(text, [](char c) { return is_alphanumeric(c) || c == ':' || c == '.' || c == '%'; });
}

} // namespace

std::optional<network_endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view address = text.substr(0, colon);
    const std::string_view port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    if (error != std::errc{} || end != port_text.data() + port_text.size())
        return std::nullopt;
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
        if (!is_ipv6(address))
            return std::nullopt;
    }
    else if (!is_host(address)) {
        return std::nullopt;
    }
    return network_endpoint{std::string(address), port};
}

std::string to_string(const network_endpoint& endpoint)
{
    const bool ipv6 = endpoint.address.find(':') != std::string::npos;
    return ipv6 ? fmt::format("[{}]:{}", endpoint.address, endpoint.port)
                : fmt::format("{}:{}", endpoint.address, endpoint.port);
}

} // namespace mulberry
