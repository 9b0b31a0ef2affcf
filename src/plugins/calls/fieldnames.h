#pragma once

#include <string>

namespace mulberry {

/// Names of the header fields that this system reads and sets. They are configurable, so that a deployment can use its
/// own naming convention. A field with an empty name is neither read nor sent.
struct field_names {
    /// Prefix of the key in the Authorization field of callers.
    std::string credential_prefix = "Bearer ";
    /// Id of the request. Sent in responses and to the upstream; taken from the caller if caller_sets_request_id is
    /// set.
    std::string request_id = "Mulberry-Request-Id";
    bool caller_sets_request_id = false;
    /// Milliseconds until the deadline. Read from callers and sent to the upstream.
    std::string deadline = "Mulberry-Deadline-Ms";
    /// Sent to the upstream: the organisation of the request, the calling service, and the importance of the request.
    std::string organisation = "Mulberry-Organisation";
    std::string calling_service;
    std::string importance = "Mulberry-Importance";
    /// Context token of the running call. Sent to the upstream, which sends it back with its nested calls.
    std::string context = "Mulberry-Context";
    /// Sent to the upstream: the instance that the request is addressed to. Any other instance refuses it with status
    /// 421.
    std::string expected_instance;
    /// Sent by the upstream if it has not run the request and never will.
    std::string not_executed;
    /// Sent by the upstream: the requests per second that it accepts from all nodes together, and whether it is
    /// leaving.
    std::string rate_limit;
    std::string leaving;
    /// If true, the caller's Host field is forwarded to the upstream.
    bool forwards_host = false;
};

} // namespace mulberry
