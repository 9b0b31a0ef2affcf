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

/// Measures which services refuse the calls of the upstream beside this node for lack of free capacity, both the
/// services that it calls directly and those further downstream. The node's responses report the result towards the
/// entries, where requests can be refused before any work is done for them.
class downstream_monitor {
public:
    explicit downstream_monitor(timer_service& timers) : m_timers(timers) {}

    /// Records a call to which the service's upstream responded. `loads` are the downstream loads in the response.
    void on_call_response(std::string_view service, std::span<const downstream_load> loads);
    /// Records a call that failed because the service had no free capacity for it.
    void on_refused(std::string_view service);

    /// The services that refuse a noticeable share of calls, the most overloaded first; at most max_downstream_loads.
    std::vector<downstream_load> report() const;

private:
    /// Measurements from the calls to one service.
    struct called_service {
        decaying_mean refused_calls;
        /// Share of refused calls by the name of the downstream service that the responses report.
        std::map<std::string, decaying_mean, std::less<>> downstream_refusals;
    };

    called_service& find(std::string_view service);

    timer_service& m_timers;
    std::map<std::string, called_service, std::less<>> m_called;
};

} // namespace mulberry
