#pragma once

#include <cstdint>
#include <string_view>

namespace mulberry {

/// Identifies requests with the same content, whatever their ids and the nodes that received them; 0 if it is not
/// known.
using request_fingerprint = std::uint64_t;

/// What makes two requests the same for an upstream.
struct request_content {
    /// Empty if the request belongs to no organisation.
    std::string_view organisation;
    std::string_view method;
    /// The host if it is forwarded to the upstream, otherwise the service.
    std::string_view authority;
    /// Path and query.
    std::string_view path;
    std::string_view body;
};

/// Returns the fingerprint of a content; never 0.
request_fingerprint fingerprint_of(const request_content& content);

} // namespace mulberry
