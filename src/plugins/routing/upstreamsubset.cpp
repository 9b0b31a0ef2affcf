#include "plugins/routing/upstreamsubset.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

namespace mulberry::detail {

namespace {

using ranked_candidate = std::pair<std::uint64_t, subset_candidate>;

std::uint64_t rank_of(std::string_view own_name, std::string_view candidate)
{
    const XXH64_hash_t seed = XXH3_64bits(own_name.data(), own_name.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

} // namespace

network_distance distance_between(const node_location& from, const node_location& to)
{
    if (from.region != to.region)
        return network_distance::other_region;
    return from.failure_domain == to.failure_domain ? network_distance::same_domain : network_distance::same_region;
}

std::vector<subset_candidate> choose_subset(std::string_view own_name, std::vector<subset_candidate> candidates,
                                            std::size_t size)
{
    if (candidates.size() <= size)
        return candidates;
    std::array<std::vector<ranked_candidate>, 3> tiers;
    for (subset_candidate& each : candidates) {
        auto& tier = tiers[static_cast<std::size_t>(each.distance)];
        tier.emplace_back(rank_of(own_name, each.name), std::move(each));
    }
    for (auto& tier : tiers)
        std::ranges::sort(tier, std::greater{}, &ranked_candidate::first);
    const std::size_t quarter = size / 4;
    const std::size_t remote = std::min(quarter, tiers[2].size());
    const std::size_t region = std::min(quarter, tiers[1].size());
    std::array<std::size_t, 3> chosen_per_tier{0, region, remote};
    // The places that are not reserved go to the nearest candidates.
    std::size_t unreserved = size - region - remote;
    for (std::size_t tier = 0; tier < tiers.size(); ++tier) {
        const std::size_t additional = std::min(unreserved, tiers[tier].size() - chosen_per_tier[tier]);
        chosen_per_tier[tier] += additional;
        unreserved -= additional;
    }
    std::vector<subset_candidate> chosen;
    for (std::size_t tier = 0; tier < tiers.size(); ++tier) {
        for (std::size_t index = 0; index < chosen_per_tier[tier]; ++index)
            chosen.push_back(std::move(tiers[tier][index].second));
    }
    return chosen;
}

} // namespace mulberry::detail
