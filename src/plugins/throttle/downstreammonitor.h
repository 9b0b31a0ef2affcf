#pragma once

#include "libs/base/decayingmean.h"
#include "libs/base/timerservice.h"
#include "plugins/admission/downstreamload.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// What the calls of the upstream beside this node have met: which services refused them for lack of room, here and
/// further down the call graph. The node's answers carry the report towards the entries, where requests can be refused
/// before any work is done for them.
class downstream_monitor {
public:
    explicit downstream_monitor(timer_service& timers) : m_timers(timers) {}

    /// A call was answered by the service's upstream. The loads are those that the answer carries.
    void on_answered(std::string_view service, std::span<const downstream_load> loads);
    /// A call was given up because the service had no room for it.
    void on_refused(std::string_view service);

    /// The services that refuse a noticeable part, the shortest of room first; at most most_downstream_loads.
    std::vector<downstream_load> report() const;

private:
    /// What is learned from the calls to one service.
    struct called_service {
        decaying_mean refused;
        /// By the service that the answers name.
        std::map<std::string, decaying_mean, std::less<>> reported;
    };

    called_service& find(std::string_view service);

    timer_service& m_timers;
    std::map<std::string, called_service, std::less<>> m_called;
};

} // namespace mulberry
