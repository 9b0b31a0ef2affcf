#include "plugins/entry/upstreamnotices.h"

namespace mulberry::detail {

namespace {

constexpr duration retention = std::chrono::minutes(10);

} // namespace

void upstream_notices::record(std::string_view upstream, const upstream_notice& notice)
{
    const auto known = m_entries.find(upstream);
    if (notice == upstream_notice{}) {
        if (known != m_entries.end())
            m_entries.erase(known);
        return;
    }
    const time_point now = m_timers.now();
    if (known != m_entries.end()) {
        known->second = {notice, now};
        return;
    }
    std::erase_if(m_entries, [now](const auto& each) { return now - each.second.recorded_at > retention; });
    m_entries.emplace(std::string(upstream), entry{notice, now});
}

upstream_notice upstream_notices::find(std::string_view upstream) const
{
    const auto known = m_entries.find(upstream);
    return known == m_entries.end() ? upstream_notice{} : known->second.notice;
}

std::vector<std::string> upstream_notices::limited_upstreams() const
{
    std::vector<std::string> names;
    for (const auto& [name, each] : m_entries) {
        if (each.notice.rate_limit)
            names.push_back(name);
    }
    return names;
}

} // namespace mulberry::detail
