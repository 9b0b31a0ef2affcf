#pragma once

#include "libs/base/timerservice.h"
#include "plugins/calls/calltransport.h"
#include "plugins/guard/guardservice.h"

#include <string>
#include <unordered_map>

namespace mulberry {

/// Passes attempts for the upstream beside this node directly to its guard, and sends all others over the network.
class local_transport final : public call_transport {
public:
    local_transport(std::string own_name, timer_service& timers, guard_service& guard, call_transport& network);

    call_id send(std::string_view node_name, const call_request& request, call_callback done) override;
    void cancel(call_id id) override;

private:
    struct open_call {
        /// Id of the call in the network transport; 0 for a local call.
        call_id remote = 0;
        /// Set once the local guard has received the call.
        attempt_id local;
        call_callback done;
    };

    void deliver_to_guard(call_id id, const call_request& request);
    void finish(call_id id, leaf::result<call_response> result);

    std::string m_own_name;
    timer_service& m_timers;
    guard_service& m_guard;
    call_transport& m_network;
    std::unordered_map<call_id, open_call> m_calls;
    call_id m_last_id = 0;
};

} // namespace mulberry
