#include "plugins/shares/domaintargets.h"

#include <algorithm>
#include <vector>

namespace mulberry::shares {

namespace {

constexpr parts floor_divisor = 10;
constexpr micro_tokens least_burst = 2 * one_token;
/// Weight of a domain without demand when the rest is divided, as a part of the figure shared by all domains.
constexpr parts idle_weight_divisor = 50;

struct claim {
    parts* target = nullptr;
    parts missing = 0;
    parts weight = 0;
};

/// Gives each claim what it misses, the smallest first, and returns what is left.
parts fill(std::vector<claim>& claims, parts available)
{
    std::ranges::sort(claims, {}, &claim::missing);
    auto remaining = static_cast<parts>(claims.size());
    for (claim& next : claims) {
        const parts given = std::min(next.missing, available / remaining);
        *next.target += given;
        available -= given;
        --remaining;
    }
    return available;
}

} // namespace

parts domain_floor(const figure& limits, std::size_t domains)
{
    if (domains == 0)
        return 0;
    const auto count = static_cast<parts>(domains);
    const parts equal = whole / count;
    const parts floor = equal / floor_divisor;
    if (limits.burst <= 0)
        return floor;
    return std::clamp(scaled(least_burst, whole, limits.burst) + 1, floor, equal);
}

std::map<std::string, parts> domain_targets(const figure& limits, const std::map<std::string, domain_demand>& domains)
{
    std::map<std::string, parts> targets;
    if (domains.empty())
        return targets;
    const parts floor = domain_floor(limits, domains.size());
    parts available = whole - floor * static_cast<parts>(domains.size());
    std::vector<claim> claims;
    parts weights = 0;
    for (const auto& [name, state] : domains) {
        available -= state.locked;
        parts& target = targets[name] = floor;
        const micro_tokens demand = std::clamp(state.demand, micro_tokens{0}, 10 * std::max(limits.rate, one_token));
        const parts wanted = limits.rate > 0 ? scaled(demand, whole, limits.rate) : 0;
        const parts weight = wanted + whole / idle_weight_divisor / static_cast<parts>(domains.size());
        claims.push_back({&target, std::max(wanted - floor, parts{0}), weight});
        weights += weight;
    }
    const parts rest = fill(claims, std::max(available, parts{0}));
    for (const claim& next : claims)
        *next.target += scaled(rest, next.weight, weights);
    return targets;
}

} // namespace mulberry::shares
