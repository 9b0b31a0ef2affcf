#pragma once

#include "libs/peer/peererror.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <boost/leaf.hpp>

namespace mulberry {

namespace leaf = boost::leaf;

/// Identifies a call of one caller. The value 0 is never issued.
using peer_call_id = std::uint64_t;
using peer_callback = std::function<void(leaf::result<std::string>)>;

/// Calls handlers of other daemons. Used on the event loop's thread.
class peer_caller {
public:
    peer_caller() = default;
    peer_caller(const peer_caller&) = delete;
    peer_caller& operator=(const peer_caller&) = delete;
    virtual ~peer_caller() = default;

    /// Sends the payload to the node at "host:port" and gives back the whole answer or a peer_error, once, never from
    /// within this call. There is no time limit; the caller cancels when its own has passed.
    virtual peer_call_id call(std::string_view node_name, std::string_view address, std::string_view path,
                              std::string payload, peer_callback done) = 0;

    /// Ends a call; its callback is then never called. Resets the stream if the call has been sent.
    virtual void cancel(peer_call_id id) = 0;
};

} // namespace mulberry
