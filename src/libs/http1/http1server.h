#pragma once

#include "libs/base/time.h"
#include "libs/http/httpclient.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/leaf.hpp>

namespace mulberry {

class event_loop;

/// A complete request as received. The target is the path with the query.
struct http1_request {
    std::string method;
    std::string target;
    std::string host;
    http_headers headers;
    message_body body;
};

/// Response to a request. The server adds the framing and connection fields.
struct http1_response {
    int status = 0;
    http_headers headers;
    message_body body;
};

using http1_request_id = std::uint64_t;

/// Handles complete requests. Called on the event loop's thread.
class http1_handler {
public:
    using response_callback = std::function<void(http1_response)>;

    http1_handler() = default;
    http1_handler(const http1_handler&) = delete;
    http1_handler& operator=(const http1_handler&) = delete;
    virtual ~http1_handler() = default;

    /// Handles a request. `done` is called at most once with the response, possibly before this function returns.
    virtual void on_request(http1_request_id id, http1_request request, response_callback done) = 0;
    /// The caller has closed its connection, so that a response can no longer be delivered.
    virtual void on_caller_gone(http1_request_id id) = 0;
};

/// Size and time limits for callers.
struct http1_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
    duration header_timeout{std::chrono::seconds(3)};
    duration idle_timeout{std::chrono::seconds(15)};
    /// Maximum time for receiving the body of a request, and for the caller to read a response.
    duration transfer_timeout{std::chrono::seconds(30)};
    /// Maximum total size in bytes of the request bodies that are being received or handled at a time over all
    /// connections; a body that exceeds it is refused with 503. Announced bytes count only once they have arrived.
    std::size_t max_buffered_body_bytes = std::size_t{64} * 1024 * 1024;
    /// Maximum number of open connections. A further one replaces the connection that is needed least: one that has
    /// been idle for longest, then one that sends its head, then one whose transfer is slow. If all are in use, it is
    /// closed at once.
    std::size_t max_connections = 2000;
};

/// HTTP/1.1 server for unencrypted connections. Each connection has at most one request in progress.
class http1_server {
public:
    /// What the server holds for its callers counts against the budget, if there is one: bytes that have been received,
    /// header fields, and responses until their callers have read them. When the budget runs short, callers that send
    /// or read slowly lose their connections; a request for which no memory is left is refused with 503.
    http1_server(event_loop& loop, http1_handler& handler, const http1_limits& limits = {},
                 std::shared_ptr<memory_budget> memory = nullptr);
    http1_server(const http1_server&) = delete;
    http1_server& operator=(const http1_server&) = delete;
    /// Closes all connections.
    ~http1_server();

    /// Listens on a numeric address; port 0 takes any free port. Returns the port, or the system's error as
    /// boost::system::error_code.
    boost::leaf::result<std::uint16_t> start(const std::string& address, std::uint16_t port);
    /// Takes effect on each connection from its next request on.
    void set_limits(const http1_limits& limits);
    /// From now on, responses carry "Connection: close" and their connections are closed afterwards. New connections
    /// are still accepted.
    void begin_closing();
    /// Like begin_closing(), and stops accepting connections.
    void stop_accepting();
    /// Stops accepting and closes the connections on which no request has begun. The others are closed after their
    /// responses.
    void finish();
    /// Like finish(); calls back once all connections are closed, but never before this function returns.
    void stop(std::function<void()> done);

    std::size_t open_connections() const;
    /// Number of connections that were closed to make room for new ones.
    std::uint64_t evicted_connections() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace mulberry
