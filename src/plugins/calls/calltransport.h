#pragma once

#include "plugins/calls/callcodec.h"

#include <functional>

namespace mulberry {

using call_id = std::uint64_t;
using call_callback = std::function<void(leaf::result<call_response>)>;

/// Sends attempts to the guards of other nodes and to the guard of this node.
class call_transport {
public:
    call_transport() = default;
    call_transport(const call_transport&) = delete;
    call_transport& operator=(const call_transport&) = delete;
    virtual ~call_transport() = default;

    /// Sends an attempt. The callback is called exactly once, after this function has returned, with the response or a
    /// call_error.
    virtual call_id send(std::string_view node_name, const call_request& request, call_callback done) = 0;

    /// Notifies the guard that the response is no longer needed. The callback is not called any more.
    virtual void cancel(call_id id) = 0;
};

} // namespace mulberry
