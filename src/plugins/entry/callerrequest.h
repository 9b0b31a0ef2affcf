#pragma once

#include "plugins/calls/callrequest.h"

#include <string>

namespace mulberry {

/// A request as the HTTP server received it. The path starts with "/" and holds the query, if there is one.
struct caller_request {
    std::string method;
    std::string path;
    header_list headers;
    std::string body;
    /// The Host field where routes depend on it.
    std::string host{};
};

/// What the caller gets. Refusals have a problem document (RFC 9457) as body.
struct caller_answer {
    int status = 0;
    header_list headers;
    std::string body;
};

} // namespace mulberry
