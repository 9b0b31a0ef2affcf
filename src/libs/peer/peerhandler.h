#pragma once

#include <functional>
#include <memory>
#include <string>

namespace mulberry {

/// A whole call as received. The sender's name is proved by its certificate or, between nodes that share a secret,
/// stated by the sender; path and payload are untrusted.
struct peer_request {
    std::string from;
    std::string path;
    std::string payload;
};

/// Takes the answer to one call. Used on the event loop only. If the last reference goes away without an answer, the
/// stream is reset and the caller gets connection_lost.
class peer_responder {
public:
    peer_responder() = default;
    peer_responder(const peer_responder&) = delete;
    peer_responder& operator=(const peer_responder&) = delete;
    virtual ~peer_responder() = default;

    /// Sends the answer. Only the first answer() or reject() has an effect, and none has once the call is cancelled.
    virtual void answer(std::string payload) = 0;

    /// Answers that the call is malformed or its path unknown, and that nothing was done; the caller gets
    /// peer_error::rejected.
    virtual void reject() = 0;

    /// Calls back once if the caller cancels or its connection is lost before the answer. The callback is dropped by
    /// answer() and reject().
    virtual void on_cancelled(std::function<void()> callback) = 0;
};

class peer_handler {
public:
    peer_handler() = default;
    peer_handler(const peer_handler&) = delete;
    peer_handler& operator=(const peer_handler&) = delete;
    virtual ~peer_handler() = default;

    /// Called on the event loop for each whole call within the limits.
    virtual void on_call(peer_request request, std::shared_ptr<peer_responder> responder) = 0;
};

} // namespace mulberry
