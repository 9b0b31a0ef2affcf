#pragma once

#include "libs/peer/peerhandler.h"

#include <map>

namespace mulberry {

/// Gives each call to the handler with the longest matching path prefix; calls without one are rejected.
class peer_router final : public peer_handler {
public:
    /// The handler must live as long as the router.
    void add(std::string prefix, peer_handler& handler);

    void on_call(peer_request request, std::shared_ptr<peer_responder> responder) override;

private:
    std::map<std::string, peer_handler*, std::greater<>> m_handlers;
};

} // namespace mulberry
