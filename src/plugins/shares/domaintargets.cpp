#include "plugins/shares/domaintargets.h"

#include <algorithm>
#include <vector>

namespace mulberry::shares {

namespace {

constexpr share_units floor_divisor = 10;
constexpr micro_tokens min_burst = 2 * one_token;
/// Base weight of every domain when the remainder is divided, so that a domain without demand gets a portion too: 1/50
/// of the full share, split equally among the domains.
constexpr share_units idle_weight_divisor = 50;

struct claim {
    share_units* target = nullptr;
    share_units missing_units = 0;
    share_units weight = 0;
};

/// Distributes the available units evenly among the claims, never more than a claim is missing, and returns the
/// remainder. Claims with the smallest missing amount are served first.
share_units distribute_evenly(std::vector<claim>& claims, share_units available)
{
    std::ranges::sort(claims, {}, &claim::missing_units);
    auto remaining = static_cast<share_units>(claims.size());
    for (claim& next : claims) {
        const share_units granted = std::min(next.missing_units, available / remaining);
        *next.target += granted;
        available -= granted;
        --remaining;
    }
    return available;
}

} // namespace

share_units domain_floor(const rate_limit& limits, std::size_t domains)
{
    if (domains == 0)
        return 0;
    const auto count = static_cast<share_units>(domains);
    const share_units equal = full_share / count;
    const share_units floor = equal / floor_divisor;
    if (limits.burst <= 0)
        return floor;
    return std::clamp(scaled(min_burst, full_share, limits.burst) + 1, floor, equal);
}

std::map<std::string, share_units> domain_targets(const rate_limit& limits,
                                                  const std::map<std::string, domain_demand>& domains)
{
    std::map<std::string, share_units> targets;
    if (domains.empty())
        return targets;
    const share_units floor = domain_floor(limits, domains.size());
    share_units available = full_share - floor * static_cast<share_units>(domains.size());
    std::vector<claim> claims;
    share_units weights = 0;
    for (const auto& [name, state] : domains) {
        available -= state.locked;
        share_units& target = targets[name] = floor;
        const micro_tokens demand = std::clamp(state.demand, micro_tokens{0}, 10 * std::max(limits.rate, one_token));
        const share_units demand_units = limits.rate > 0 ? scaled(demand, full_share, limits.rate) : 0;
        const share_units weight =
            demand_units + full_share / idle_weight_divisor / static_cast<share_units>(domains.size());
        claims.push_back({&target, std::max(demand_units - floor, share_units{0}), weight});
        weights += weight;
    }
    const share_units rest = distribute_evenly(claims, std::max(available, share_units{0}));
    for (const claim& next : claims)
        *next.target += scaled(rest, next.weight, weights);
    return targets;
}

} // namespace mulberry::shares
