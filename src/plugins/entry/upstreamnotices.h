#pragma once

#include "libs/base/timerservice.h"
#include "plugins/calls/upstreamnotice.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry::detail {

/// What this entry knows from responses about upstreams that limit their rate or are leaving. Upstreams are named by
/// the node beside them. An upstream that is not heard of for some minutes is forgotten.
class upstream_notices {
public:
    explicit upstream_notices(timer_service& timers) : m_timers(timers) {}

    /// Records the notice in a response of the upstream.
    void record(std::string_view upstream, const upstream_notice& notice);
    /// Returns the last notice of the upstream.
    upstream_notice find(std::string_view upstream) const;
    /// Names of the upstreams that limit their rate.
    std::vector<std::string> limited_upstreams() const;

private:
    struct entry {
        upstream_notice notice;
        time_point recorded_at;
    };

    timer_service& m_timers;
    std::map<std::string, entry, std::less<>> m_entries;
};

} // namespace mulberry::detail
