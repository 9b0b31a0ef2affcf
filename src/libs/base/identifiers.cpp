#include "libs/base/identifiers.h"

#include <fmt/format.h>

namespace mulberry {

namespace {

/// The golden ratio as a 64-bit fraction. It spreads the bits when two hashes are combined.
constexpr std::size_t hash_multiplier = 0x9E3779B97F4A7C15U;

} // namespace

std::string to_string(const node_id& id)
{
    return fmt::format("{}#{}", id.name, id.incarnation);
}

std::string to_string(const attempt_id& id)
{
    return fmt::format("{}/{}", to_string(id.sender), id.sequence);
}

} // namespace mulberry

std::size_t std::hash<mulberry::node_id>::operator()(const mulberry::node_id& id) const noexcept
{
    return std::hash<std::string>{}(id.name) * mulberry::hash_multiplier + std::hash<std::uint64_t>{}(id.incarnation);
}

std::size_t std::hash<mulberry::attempt_id>::operator()(const mulberry::attempt_id& id) const noexcept
{
    return std::hash<mulberry::node_id>{}(id.sender) * mulberry::hash_multiplier +
           std::hash<std::uint64_t>{}(id.sequence);
}
