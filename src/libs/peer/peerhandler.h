#pragma once

#include "libs/memory/messageparts.h"

#include <functional>
#include <memory>
#include <string>

namespace mulberry {

/// A complete call as received. The sender's name is proved by its certificate or, between nodes that share a secret,
/// announced by the sender. Path and payload are untrusted.
struct peer_request {
    std::string sender_name;
    std::string path;
    message_body payload;
};

/// Receives the response to one call. Used on the event loop only. If the last reference is released without a
/// response, the stream is reset and the caller gets connection_lost.
class peer_responder {
public:
    peer_responder() = default;
    peer_responder(const peer_responder&) = delete;
    peer_responder& operator=(const peer_responder&) = delete;
    virtual ~peer_responder() = default;

    /// Sends the response. Only the first call of respond() or reject() has an effect, and none has once the call is
    /// cancelled.
    virtual void respond(message_parts payload) = 0;

    /// Responds that the call is malformed or its path unknown, and that it was not processed; the caller gets
    /// peer_error::rejected.
    virtual void reject() = 0;

    /// Calls back once if the caller cancels the call or its connection is lost before the response. The callback is
    /// released by respond() and reject().
    virtual void on_cancelled(std::function<void()> callback) = 0;
};

class peer_handler {
public:
    peer_handler() = default;
    peer_handler(const peer_handler&) = delete;
    peer_handler& operator=(const peer_handler&) = delete;
    virtual ~peer_handler() = default;

    /// Called on the event loop for each complete call within the limits.
    virtual void on_call(peer_request request, std::shared_ptr<peer_responder> responder) = 0;
};

} // namespace mulberry
