#include "libs/peer/peerrouter.h"

namespace mulberry {

void peer_router::add(std::string prefix, peer_handler& handler)
{
    m_handlers[std::move(prefix)] = &handler;
}

void peer_router::on_call(peer_request request, std::shared_ptr<peer_responder> responder)
{
    // The map is in descending order, so that a longer prefix is tried before its own prefixes.
    for (const auto& [prefix, handler] : m_handlers) {
        if (request.path.starts_with(prefix)) {
            handler->on_call(std::move(request), std::move(responder));
            return;
        }
    }
    responder->reject();
}

} // namespace mulberry
