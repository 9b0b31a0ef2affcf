#pragma once

#include "libs/base/time.h"
#include "libs/memory/messagebody.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/leaf.hpp>

namespace mulberry {

namespace leaf = boost::leaf;

/// Errors of the HTTP layer.
enum class http_error : std::uint8_t {
    not_sent,        // no byte of the request left this process
    connection_lost, // the connection ended after the request may have been sent
    timed_out,       // no complete response in time; the request may have been received
    truncated,       // the body was shorter than announced
    too_large,       // the response exceeds the configured limit
};

std::string_view to_string(http_error error);

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// A request to an absolute URL. The timeout covers the whole request including the response.
struct http_request {
    std::string method;
    std::string url;
    http_headers headers;
    message_body body;
    duration timeout{std::chrono::seconds(10)};
    /// If not 0, the timeout covers only the time until the response begins, and each further part of it may take this
    /// long. A long response over a narrow link is then not cut off and requested again, which would fill the link.
    /// Ignored by clients that cannot observe the progress of a response.
    duration stall_timeout{0};
    /// Called each time a part of the response has arrived that does not complete it. May be empty. Ignored by clients
    /// that cannot observe the progress of a response.
    std::function<void()> on_progress{};
    /// Name of a request field that the server repeats in its response, or empty. A response with another value belongs
    /// to another request and is discarded.
    std::string echoed_field{};
    /// False for a request that must not run twice; it is not sent on connections that the server may already have
    /// closed.
    bool repeatable = true;
};

struct http_response {
    int status = 0;
    http_headers headers;
    message_body body;
};

using http_call_id = std::uint64_t;
using http_callback = std::function<void(leaf::result<http_response>)>;

/// Sends HTTP requests over persistent connections. All functions return at once; each callback is called once, later,
/// on the event loop.
class http_client {
public:
    http_client() = default;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    virtual ~http_client() = default;

    virtual http_call_id send(http_request request, http_callback done) = 0;

    /// Aborts a request that has no response yet; its callback is never called afterwards.
    virtual void cancel(http_call_id id) = 0;
};

/// A client that can also deliver the body of a response in pieces.
class streaming_http_client : public http_client {
public:
    /// Passes the body of the response to `on_piece` in pieces as they are received and calls `done` at its end. Used
    /// for long-lived watches.
    virtual http_call_id stream(http_request request, std::function<void(std::string_view)> on_piece,
                                http_callback done) = 0;
};

} // namespace mulberry
