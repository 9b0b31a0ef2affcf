#pragma once

#include "libs/base/time.h"
#include "plugins/membership/member.h"
#include "plugins/routing/upstreamselector.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace mulberry {

/// Converts the members of the fleet to the input of the upstream selector. Stores since when each run of a node has
/// been in the state `serving`.
class member_upstreams {
public:
    /// Returns one entry per member. `now` becomes the start time of runs that were not serving at the last call.
    std::vector<upstream_info> update(std::span<const member> members, time_point now);

private:
    /// By node name and incarnation.
    std::map<std::string, time_point> m_serving_since;
};

} // namespace mulberry
