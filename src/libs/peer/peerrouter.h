#pragma once

#include "libs/peer/peerhandler.h"

#include <map>

namespace mulberry {

/// Passes each call to the handler with the longest matching path prefix; calls without a matching prefix are rejected.
class peer_router final : public peer_handler {
public:
    /// Registers a handler for a path prefix. The handler must exist as long as the router.
    void add(std::string prefix, peer_handler& handler);

    void on_call(peer_request request, std::shared_ptr<peer_responder> responder) override;

private:
    std::map<std::string, peer_handler*, std::greater<>> m_handlers;
};

} // namespace mulberry
