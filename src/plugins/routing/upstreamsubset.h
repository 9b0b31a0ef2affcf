#pragma once

#include "libs/base/identifiers.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry::detail {

/// How far an upstream is away. Smaller is nearer.
enum class distance : std::uint8_t { same_domain, same_region, other_region };

distance distance_between(const node_location& from, const node_location& to);

struct subset_candidate {
    std::string name;
    distance away = distance::same_domain;
};

/// Chooses at most `size` of the candidates by rendezvous hashing on the node's and the candidate's name, so that nodes
/// choose different subsets and a change of the list moves few choices. A quarter is kept for another region and a
/// quarter for another failure domain as long as there are candidates, so that a lost domain leaves a choice.
std::vector<subset_candidate> choose_subset(std::string_view own_name, std::vector<subset_candidate> candidates,
                                            std::size_t size);

} // namespace mulberry::detail
