#pragma once

#include <string>

namespace mulberry {

/// Names of the header fields that this system reads and sets, so that a deployment with a convention of its own can
/// use it. An empty name means that the field is neither read nor sent.
struct field_names {
    /// What precedes the key in the Authorization field of callers.
    std::string credential_prefix = "Bearer ";
    /// Id of the request, in answers and to the upstream. Taken from the caller if caller_sets_request_id.
    std::string request_id = "Mulberry-Request-Id";
    bool caller_sets_request_id = false;
    /// Milliseconds left: from callers and to the upstream.
    std::string deadline = "Mulberry-Deadline-Ms";
    /// To the upstream: for whom it works, which service calls, and how much the request matters.
    std::string organisation = "Mulberry-Organisation";
    std::string calling_service;
    std::string importance = "Mulberry-Importance";
    /// To the upstream and back with its nested calls: the token of the running call.
    std::string context = "Mulberry-Context";
    /// To the upstream: the instance that the request is meant for. Another one refuses it with status 421.
    std::string expected_instance;
    /// From the upstream: it has not run the request and never will.
    std::string not_executed;
    /// The upstream gets the caller's Host field.
    bool forwards_host = false;
};

} // namespace mulberry
