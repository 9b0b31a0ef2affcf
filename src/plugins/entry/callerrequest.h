#pragma once

#include "plugins/calls/callrequest.h"

#include <string>

namespace mulberry {

/// A request as received by the HTTP server. The path starts with "/" and includes the query, if there is one.
struct caller_request {
    std::string method;
    std::string path;
    header_list headers;
    message_body body;
    /// The value of the Host field; set only where routes depend on the host.
    std::string host{};
};

/// The response that is sent to the caller. The body of a refusal is a problem document (RFC 9457).
struct caller_response {
    int status = 0;
    header_list headers;
    message_body body;
};

} // namespace mulberry
