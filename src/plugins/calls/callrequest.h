#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/importance.h"
#include "libs/base/time.h"
#include "libs/memory/messagebody.h"
#include "plugins/calls/requestfingerprint.h"
#include "plugins/calls/upstreamnotice.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace mulberry {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// One attempt of a request, sent by a node to the guard of an upstream.
struct call_request {
    attempt_id attempt;
    /// Id of the caller's request at the root of the call tree.
    std::string request_id;
    /// Name of the node that the call is addressed to; empty if the sender does not set it. It is checked because the
    /// address of a stopped node may have been reused by another one.
    std::string receiver;
    /// Empty on a public route.
    std::string organisation;
    /// The service whose upstream makes the nested call; empty for a request of a caller.
    std::string calling_service;
    std::string service;
    std::string route;
    importance level = importance::normal;
    /// Time remaining until the deadline when the call was sent. It is relative because the clocks of nodes are not
    /// compared.
    duration remaining{0};
    /// Number of retries that may be used for nested calls.
    std::uint32_t retries = 0;
    /// Probability that the call is a retry: 1 after an attempt that may have been delivered, otherwise that of the
    /// request on whose behalf the call is made.
    float repeat_share = 0;
    bool idempotent = false;
    /// The key as received; empty if there is none.
    std::string idempotency_key;
    /// Configuration revision that the sender used for its decision.
    std::int64_t revision = 0;
    /// Depth in the call tree: 1 for a request of a caller, one more for each nested call.
    std::uint32_t depth = 1;
    std::string method;
    /// Path and query relative to the service, starting with "/".
    std::string path;
    header_list headers;
    message_body body;
    /// What the sender knows about the upstream from its responses. The receiver may have restarted since then.
    upstream_notice notice{};
    request_fingerprint fingerprint = 0;
};

} // namespace mulberry
