#pragma once

#include "libs/memory/messageparts.h"
#include "libs/peer/peererror.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <boost/leaf.hpp>

namespace mulberry {

namespace leaf = boost::leaf;

/// Identifies a call of one peer_caller. The value 0 is never used.
using peer_call_id = std::uint64_t;
/// Receives the response, or the error, of a call.
using peer_callback = std::function<void(leaf::result<message_body>)>;

/// Sends calls to handlers of other daemons. Used on the event loop's thread.
class peer_caller {
public:
    peer_caller() = default;
    peer_caller(const peer_caller&) = delete;
    peer_caller& operator=(const peer_caller&) = delete;
    virtual ~peer_caller() = default;

    /// Sends the payload to the node at "host:port". `done` is called once, never from within this function, with the
    /// complete response or a peer_error. There is no timeout; the caller cancels the call when its own timeout has
    /// passed.
    virtual peer_call_id call(std::string_view node_name, std::string_view address, std::string_view path,
                              message_parts payload, peer_callback done) = 0;

    /// Cancels a call; its callback is never called afterwards. The stream is reset if the call was already sent.
    virtual void cancel(peer_call_id id) = 0;
};

} // namespace mulberry
