#pragma once

#include "libs/base/time.h"
#include "plugins/membership/member.h"
#include "plugins/routing/upstreamselector.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace mulberry {

/// The members as the choice of an upstream sees them. Remembers since when each run of a node has been serving.
class member_upstreams {
public:
    std::vector<upstream_info> update(std::span<const member> members, time_point now);

private:
    std::map<std::string, time_point> m_serving_since;
};

} // namespace mulberry
