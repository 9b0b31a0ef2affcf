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

/// A whole request as received. The target is the path with the query.
struct http1_request {
    std::string method;
    std::string target;
    std::string host;
    http_headers headers;
    std::string body;
};

/// Answer to a request. Framing and connection fields are added by the server.
struct http1_answer {
    int status = 0;
    http_headers headers;
    std::string body;
};

using http1_request_id = std::uint64_t;

/// Takes whole requests. Called on the event loop's thread.
class http1_handler {
public:
    using answer_callback = std::function<void(http1_answer)>;

    http1_handler() = default;
    http1_handler(const http1_handler&) = delete;
    http1_handler& operator=(const http1_handler&) = delete;
    virtual ~http1_handler() = default;

    /// The answer may be given before this returns, at most once.
    virtual void on_request(http1_request_id id, http1_request request, answer_callback done) = 0;
    /// The caller has closed its connection; an answer would reach nobody.
    virtual void on_caller_gone(http1_request_id id) = 0;
};

/// What callers may send and how long they may take.
struct http1_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
    duration header_timeout{std::chrono::seconds(3)};
    duration idle_timeout{std::chrono::seconds(15)};
    /// Longest time for the body of a request, and for the caller to take an answer.
    duration transfer_timeout{std::chrono::seconds(30)};
    /// Bytes of request bodies that are held at a time over all connections; further bodies are refused with 503.
    std::size_t max_held_bytes = std::size_t{64} * 1024 * 1024;
    /// Further connections are closed at once.
    std::size_t max_connections = 2000;
};

/// HTTP/1.1 server for plain connections. One request of a connection is in progress at a time.
class http1_server {
public:
    http1_server(event_loop& loop, http1_handler& handler, const http1_limits& limits = {});
    http1_server(const http1_server&) = delete;
    http1_server& operator=(const http1_server&) = delete;
    /// Drops all connections.
    ~http1_server();

    /// Listens on a numeric address; port 0 takes any free port. Returns the port, or the system's error as
    /// boost::system::error_code.
    boost::leaf::result<std::uint16_t> start(const std::string& address, std::uint16_t port);
    /// Applies to connections from their next request on.
    void set_limits(const http1_limits& limits);
    /// Answers carry "Connection: close" from now on, and connections end after them. Accepting goes on.
    void begin_closing();
    /// The same, but no further connections are accepted.
    void stop_accepting();
    /// Stops accepting and closes the connections on which no request has begun. The others end after their answers.
    void finish();
    /// Like finish; calls back once no connection is open any more, not before this returns.
    void stop(std::function<void()> done);

    std::size_t open_connections() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace mulberry
