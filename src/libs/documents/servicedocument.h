#pragma once

#include "libs/base/importance.h"
#include "libs/base/time.h"
#include "libs/documents/documenterrors.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf.hpp>

namespace mulberry {

namespace leaf = boost::leaf;

/// One kind of request that a service accepts.
struct route {
    std::string name;
    /// Upper case.
    std::string method;
    /// Path pattern relative to the service, such as "/orders/*/lines". "*" matches one segment and a trailing "**"
    /// matches zero or more segments.
    std::string pattern;
    importance level = importance::normal;
    /// Requests need no key. The list of organisations of an open route is empty.
    bool open = false;
    /// Organisations that may call the route. If the list is empty, every organisation that has a key may call it.
    std::vector<std::string> organisations;
    /// Services that may call the route as a nested call. If the list is empty, every service may call it.
    std::vector<std::string> calling_services;
    bool idempotent = false;
    /// Maximum time from the arrival of a request at the entry to its response.
    duration deadline{0};

    bool allows_organisation(std::string_view organisation) const;
    bool allows_calling_service(std::string_view service) const;
    bool operator==(const route&) const = default;
};

/// The configuration of one service, which the operators of its team maintain.
struct service_document {
    std::string service;
    /// Number of requests that one upstream runs concurrently.
    std::uint32_t slots = 0;
    /// Maximum number of requests that wait at one upstream.
    std::uint32_t queue_limit = 0;
    /// Maximum number of attempts in a request tree that starts at this service, including the first attempt.
    std::uint32_t total_attempts = 0;
    std::size_t body_cap_bytes = 0;
    std::vector<route> routes;

    /// Returns the first route of the document that matches, or null. The path is relative to the service and starts
    /// with
    /// "/"; a query is ignored. Segments are compared after percent-decoding. A path that an upstream could resolve to
    /// a different path matches no route. Such a path has empty, "." or ".." segments, encoded slashes, backslashes,
    /// control characters or invalid escapes.
    const route* match(std::string_view method, std::string_view path) const;
    bool operator==(const service_document&) const = default;
};

/// Parses and validates a service document. Fails with document_errors, in which `file` is the file name.
leaf::result<service_document> parse_service_document(std::string_view text, std::string_view file);

} // namespace mulberry
