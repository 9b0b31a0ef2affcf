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
    /// Relative to the service: "/orders/*/lines", where "*" stands for one segment and a trailing "**" for any number
    /// of segments, none included.
    std::string pattern;
    importance level = importance::normal;
    /// Needs no key. An open route has no organisations.
    bool open = false;
    /// Organisations that may call the route; empty for all that have a key.
    std::vector<std::string> organisations;
    /// Services that may call the route as a nested call; empty for all.
    std::vector<std::string> calling_services;
    bool idempotent = false;
    /// Longest time from the entry of a request to its answer.
    duration deadline{0};

    bool allows_organisation(std::string_view organisation) const;
    bool allows_calling_service(std::string_view service) const;
    bool operator==(const route&) const = default;
};

/// What the operators of one service team own.
struct service_document {
    std::string service;
    /// Requests that one upstream runs at a time.
    std::uint32_t slots = 0;
    /// Requests that wait at one upstream.
    std::uint32_t queue_limit = 0;
    /// Attempts of a request tree that starts at this service, the first one included.
    std::uint32_t total_attempts = 0;
    std::size_t body_cap_bytes = 0;
    std::vector<route> routes;

    /// The first route of the document that matches, or null. The path is relative to the service and starts with "/";
    /// a query is ignored. Segments are compared after percent-decoding. Paths that an upstream could resolve to
    /// another path match no route: empty, "." and ".." segments, encoded slashes, backslashes, control characters and
    /// invalid escapes.
    const route* match(std::string_view method, std::string_view path) const;
    bool operator==(const service_document&) const = default;
};

/// Parses and checks a service document. Fails with document_errors, which names the file.
leaf::result<service_document> parse_service_document(std::string_view text, std::string_view file);

} // namespace mulberry
