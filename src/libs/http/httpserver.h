#pragma once

#include "libs/http/httpfields.h"

#include <memory>

namespace mulberry {

class event_loop;

/// A complete request as received. Path and query are as sent, still percent-encoded; the query has no question mark.
struct http_server_request {
    std::string method;
    std::string path;
    std::string query;
    /// Fields in the order in which they were received; a repeated field appears repeatedly.
    http_headers headers;
    std::string body;
    /// The caller's IP address without the port.
    std::string remote_address;
};

/// Receives the response to one request. Used on the event loop only. If the last reference is released without a
/// response, the caller gets status 500.
class http_responder {
public:
    http_responder() = default;
    http_responder(const http_responder&) = delete;
    http_responder& operator=(const http_responder&) = delete;
    virtual ~http_responder() = default;

    /// Sends the response. Only the first call has an effect, and none has once the caller has disconnected.
    virtual void respond(http_response response) = 0;

    /// Calls back once if the caller closes its connection while it waits for the response. A caller that closes only
    /// its sending direction is treated as disconnected, because the server cannot distinguish the two. The callback is
    /// released by respond().
    virtual void on_caller_gone(std::function<void()> callback) = 0;
};

class http_handler {
public:
    http_handler() = default;
    http_handler(const http_handler&) = delete;
    http_handler& operator=(const http_handler&) = delete;
    virtual ~http_handler() = default;

    /// Called on the event loop for each complete request within the limits.
    virtual void on_request(http_server_request request, std::shared_ptr<http_responder> responder) = 0;
};

struct http_server_settings {
    /// Numeric IPv4 address.
    std::string address = "127.0.0.1";
    /// 0 takes any free port.
    std::uint16_t port = 0;
    /// Maximum size of a request body; larger ones are refused with 413.
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    /// Maximum size of the request line and the header fields together; larger ones are refused with 431.
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    unsigned int max_connections = 1000;
    /// A connection without any traffic is closed after this time. Rounded down to whole seconds, at least one.
    duration idle_timeout{std::chrono::seconds(60)};
    /// Time for which stop() leaves idle connections open, so that a request already on its way is still served.
    duration idle_grace_period{std::chrono::milliseconds(500)};
};

/// Counters since the start of the server.
struct http_server_counters {
    std::uint64_t requests = 0;
    std::uint64_t refused_body = 0;
    std::uint64_t refused_headers = 0;
    /// Requests refused for malformed or contradictory header fields.
    std::uint64_t refused_framing = 0;
    std::uint64_t callers_gone = 0;
};

/// HTTP/1.1 server on ulfius, which uses one thread per connection; that thread blocks until the handler responds on
/// the event loop. All functions are called on the event loop's thread.
class http_server {
public:
    http_server(event_loop& loop, http_handler& handler, http_server_settings settings = {});
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    /// Without an earlier stop(), requests that are still waiting get status 503.
    ~http_server();

    /// Starts listening and returns the port. Fails with http_error::not_sent if the address cannot be used.
    leaf::result<std::uint16_t> start();

    /// Closes the listening socket. Requests on open connections are still served; the field `Connection: close` in
    /// their responses ends the connections.
    void stop_accepting();

    /// Stops accepting, waits until all responses are written, closes the connections and then calls back on the event
    /// loop.
    void stop(std::function<void()> done);

    /// Number of requests that were received and whose responses are not completely written yet.
    std::size_t requests_in_progress() const;

    http_server_counters counters() const;

private:
    class implementation;

    std::shared_ptr<implementation> m_implementation;
};

} // namespace mulberry
