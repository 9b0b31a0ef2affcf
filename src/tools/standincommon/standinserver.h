#pragma once

#include "libs/base/time.h"
#include "libs/http/httpclient.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry {

/// A request that a stand-in receives. The path is percent-encoded; the query does not include the question mark.
struct standin_request {
    std::string method;
    std::string path;
    std::string query;
    http_headers headers;
    std::string body;

    /// Returns the value of the first header field with this name, which is compared case-insensitively; empty if there
    /// is none.
    std::string_view header(std::string_view name) const;
};

/// A response body that is sent in chunks as they become available.
class standin_stream {
public:
    standin_stream() = default;
    standin_stream(const standin_stream&) = delete;
    standin_stream& operator=(const standin_stream&) = delete;
    virtual ~standin_stream() = default;

    /// Waits for the next chunk for at most the given time. Returns an empty text if none is available yet, and nothing
    /// at the end of the body.
    virtual std::optional<std::string> next(duration max_wait) = 0;
};

/// The response of a stand-in to a request.
struct standin_response {
    int status = 200;
    http_headers headers;
    std::string body;
    /// Closes the connection without sending a response.
    bool drop_connection = false;
    /// Streams the body; replaces `body` if set.
    std::shared_ptr<standin_stream> stream;
};

/// Makes a response with a JSON body.
standin_response json_response(int status, std::string body);

/// HTTP/1.1 server for stand-ins, based on ulfius. Each connection has its own thread, on which the handler may block.
class standin_server {
public:
    using handler = std::function<standin_response(const standin_request&)>;

    explicit standin_server(handler handle);
    standin_server(const standin_server&) = delete;
    standin_server& operator=(const standin_server&) = delete;
    ~standin_server();

    /// Listens on an IPv4 address and returns the port; port 0 selects a free one. Throws std::system_error.
    std::uint16_t start(const std::string& address, std::uint16_t port);

    /// Closes the listening socket. Requests on open connections are still handled.
    void stop_accepting();

    /// Ends all streams, waits for running handlers and closes all connections.
    void stop();

    /// Returns the number of requests whose response has not been sent completely.
    std::size_t requests_in_progress() const;

private:
    class implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace mulberry
