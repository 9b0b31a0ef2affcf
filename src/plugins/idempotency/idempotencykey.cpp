#include "plugins/idempotency/idempotencykey.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <fmt/format.h>

namespace mulberry {

namespace {

constexpr std::size_t nonce_digits = 32;
constexpr std::size_t max_key_length = 200;
constexpr std::string_view version = "v1";

bool is_lower_hex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    if (fmt::to_string(value) != text)
        return std::nullopt;
    return value;
}

std::optional<std::array<std::string_view, 5>> split_parts(std::string_view text)
{
    std::array<std::string_view, 5> parts;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        const std::size_t dot = text.find('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        parts[i] = text.substr(0, dot);
        text.remove_prefix(dot + 1);
    }
    parts.back() = text;
    return parts;
}

} // namespace

idempotency_key make_idempotency_key(const node_id& owner_node, std::uint64_t epoch, random_source& random)
{
    return {owner_node, epoch, fmt::format("{:016x}{:016x}", random.next(), random.next())};
}

std::string to_string(const idempotency_key& key)
{
    return fmt::format("{}.{}.{}.{}.{}", version, key.owner_node.name, key.owner_node.incarnation, key.epoch,
                       key.nonce);
}

std::optional<idempotency_key> parse_idempotency_key(std::string_view text)
{
    if (text.size() > max_key_length)
        return std::nullopt;
    const auto parts = split_parts(text);
    if (!parts || (*parts)[0] != version)
        return std::nullopt;
    const std::string_view name = (*parts)[1];
    const auto incarnation = parse_number((*parts)[2]);
    const auto epoch = parse_number((*parts)[3]);
    const std::string_view nonce = (*parts)[4];
    if (name.empty() || !std::ranges::all_of(name, is_name_character) || !incarnation || !epoch)
        return std::nullopt;
    if (nonce.size() != nonce_digits || !std::ranges::all_of(nonce, is_lower_hex))
        return std::nullopt;
    return idempotency_key{{std::string(name), *incarnation}, *epoch, std::string(nonce)};
}

} // namespace mulberry
