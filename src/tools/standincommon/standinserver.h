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

/// A request as a stand-in sees it. The path is still percent-encoded; the query has no question mark.
struct standin_request {
    std::string method;
    std::string path;
    std::string query;
    http_headers headers;
    std::string body;

    /// Value of the first field with this name, compared without case; empty if there is none.
    std::string_view header(std::string_view name) const;
};

/// The body of an answer that is sent piece by piece.
class standin_stream {
public:
    standin_stream() = default;
    standin_stream(const standin_stream&) = delete;
    standin_stream& operator=(const standin_stream&) = delete;
    virtual ~standin_stream() = default;

    /// Waits for the next piece for at most the given time. Empty text when there is none yet, nothing at the end.
    virtual std::optional<std::string> next(duration longest_wait) = 0;
};

struct standin_answer {
    int status = 200;
    http_headers headers;
    std::string body;
    /// Closes the connection without any byte of an answer.
    bool cut_connection = false;
    /// Replaces the body if set.
    std::shared_ptr<standin_stream> stream;
};

/// Answer with a JSON body.
standin_answer json_answer(int status, std::string body);

/// HTTP/1.1 server on ulfius for stand-ins. Each connection has a thread, on which the handler may block.
class standin_server {
public:
    using handler = std::function<standin_answer(const standin_request&)>;

    explicit standin_server(handler handle);
    standin_server(const standin_server&) = delete;
    standin_server& operator=(const standin_server&) = delete;
    ~standin_server();

    /// Listens at an IPv4 address and returns the port; port 0 takes a free one. Throws std::system_error.
    std::uint16_t start(const std::string& address, std::uint16_t port);

    /// Closes the listening socket. Requests on open connections are still answered.
    void stop_accepting();

    /// Ends streams, waits for running handlers and closes all connections.
    void stop();

    /// Requests that are not fully answered.
    std::size_t requests_in_progress() const;

private:
    class implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace mulberry
