#pragma once

#include "libs/base/timerservice.h"
#include "libs/peer/peercaller.h"
#include "libs/peer/peercontrollink.h"
#include "libs/peer/peerhandler.h"
#include "plugins/calls/calltransport.h"
#include "plugins/guard/guardservice.h"

#include <unordered_map>

namespace mulberry {

/// Path of calls in the peer protocol.
inline constexpr std::string_view call_path = "/call";

/// Sends attempts to other daemons over the peer connections.
class peer_transport final : public call_transport {
public:
    peer_transport(timer_service& timers, peer_caller& peers, const address_lookup& addresses);

    call_id send(std::string_view node_name, const call_request& request, call_callback done) override;
    void cancel(call_id id) override;

private:
    void finish(call_id id, leaf::result<call_response> result);

    struct open_call {
        /// 0 if the node's address is unknown; such a call fails with not_sent.
        peer_call_id peer_call = 0;
        call_callback done;
    };

    timer_service& m_timers;
    peer_caller& m_peers;
    const address_lookup& m_addresses;
    std::unordered_map<call_id, open_call> m_calls;
    call_id m_last_id = 0;
};

/// Passes calls from other daemons to the guard of this node. Rejects calls that cannot be decoded or whose sender is
/// not the connected peer.
class call_handler final : public peer_handler {
public:
    explicit call_handler(guard_service& guard) : m_guard(guard) {}

    void on_call(peer_request request, std::shared_ptr<peer_responder> responder) override;

private:
    guard_service& m_guard;
};

} // namespace mulberry
