#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/importance.h"
#include "libs/base/time.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace mulberry {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// One attempt of a request on its way from the node that sends it to the guard of an upstream.
struct call_request {
    attempt_id attempt;
    /// The request of the caller at whose root the call tree started.
    std::string request_id;
    /// Name of the node that the call is meant for; empty from a sender that does not say so. The address of a node
    /// that has gone may belong to another one.
    std::string receiver;
    /// Empty on a route that is open to all.
    std::string organisation;
    /// The service whose upstream makes a nested call; empty for a caller's own request.
    std::string calling_service;
    std::string service;
    std::string route;
    importance level = importance::normal;
    /// Time left until the deadline when the call was sent; clocks of nodes are not compared.
    duration remaining{0};
    /// Retries that the guard's side may use for nested calls.
    std::uint32_t retries = 0;
    /// Probability that the call counts as a repetition: 1 after an attempt that may have arrived, otherwise that of
    /// the request on whose behalf it is made.
    float repeat_share = 0;
    bool idempotent = false;
    /// As received; empty if there is none.
    std::string idempotency_key;
    /// Configuration revision under which the sender decided.
    std::int64_t revision = 0;
    /// 1 for a caller's own request, one more for each nested call.
    std::uint32_t depth = 1;
    std::string method;
    /// Path and query relative to the service, starting with "/".
    std::string path;
    header_list headers;
    std::string body;
};

} // namespace mulberry
