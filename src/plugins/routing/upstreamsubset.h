#pragma once

#include "libs/base/identifiers.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry::detail {

/// Network distance of an upstream; a smaller value is nearer.
enum class network_distance : std::uint8_t { same_domain, same_region, other_region };

network_distance distance_between(const node_location& from, const node_location& to);

struct subset_candidate {
    std::string name;
    network_distance distance = network_distance::same_domain;
};

/// Chooses at most `size` of the candidates by rendezvous hashing on the node's and the candidate's name, so that nodes
/// choose different subsets and a change of the list replaces few of the chosen. A quarter of the subset is reserved
/// for other regions and a quarter for other failure domains of the own region, as far as there are candidates, so that
/// upstreams remain when a failure domain is lost.
std::vector<subset_candidate> choose_subset(std::string_view own_name, std::vector<subset_candidate> candidates,
                                            std::size_t size);

} // namespace mulberry::detail
