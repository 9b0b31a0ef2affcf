#include "app/memberupstreams/memberupstreams.h"

#include <set>

namespace mulberry {

namespace {

upstream_state state_of(member_state state)
{
    switch (state) {
    case member_state::starting:
        return upstream_state::starting;
    case member_state::serving:
        return upstream_state::serving;
    case member_state::leaving:
        return upstream_state::leaving;
    case member_state::dead:
        break;
    }
    return upstream_state::dead;
}

} // namespace

std::vector<upstream_info> member_upstreams::update(std::span<const member> members, time_point now)
{
    std::vector<upstream_info> upstreams;
    std::set<std::string> serving_runs;
    for (const member& entry : members) {
        const std::string run = to_string(entry.id);
        const bool serving = entry.state == member_state::serving;
        if (serving)
            serving_runs.insert(run);
        const time_point since = serving ? m_serving_since.try_emplace(run, now).first->second : now;
        upstreams.push_back({entry.id.name, entry.id.incarnation, entry.service, entry.location, state_of(entry.state),
                             since, entry.slots});
    }
    std::erase_if(m_serving_since, [&](const auto& entry) { return !serving_runs.contains(entry.first); });
    return upstreams;
}

} // namespace mulberry
