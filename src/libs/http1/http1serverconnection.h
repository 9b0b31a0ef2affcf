#pragma once

#include "libs/eventloop/singleshottimer.h"
#include "libs/http1/http1server.h"
#include "libs/http1/receivedbody.h"

#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace mulberry::detail {

class http1_server_connection;

/// Services that a connection requires from its server.
class http1_connection_owner {
public:
    http1_connection_owner() = default;
    http1_connection_owner(const http1_connection_owner&) = delete;
    http1_connection_owner& operator=(const http1_connection_owner&) = delete;
    virtual ~http1_connection_owner() = default;

    virtual http1_handler& handler() = 0;
    virtual const http1_limits& limits() const = 0;
    virtual bool is_closing() const = 0;
    virtual http1_request_id next_request_id() = 0;
    /// Reserves memory for a request body; returns false if max_buffered_body_bytes would be exceeded.
    virtual bool reserve_body_bytes(std::size_t bytes) = 0;
    virtual void release(std::size_t bytes) = 0;
    virtual void connection_closed(http1_server_connection& connection) = 0;
};

/// A connection from one caller: reads a request, passes it to the handler, writes the response and repeats.
class http1_server_connection final : public std::enable_shared_from_this<http1_server_connection> {
public:
    http1_server_connection(boost::asio::ip::tcp::socket socket, std::weak_ptr<http1_connection_owner> owner);

    void start();
    /// Closes the connection at once.
    void close();
    /// Closes the connection if no byte of a request has been received.
    void close_if_idle();

private:
    using error_code = boost::system::error_code;
    using parser = boost::beast::http::request_parser<received_body>;
    using wire_response = boost::beast::http::response<boost::beast::http::span_body<const char>>;

    void await_request();
    void read_header();
    /// Responds with an error if the request is malformed or too large; closes if the caller has closed the connection.
    void handle_read_error(const error_code& error);
    void on_header();
    void read_body();
    void read_more_body();
    /// Reserves memory for what has been received of a body without an announced length.
    bool reserve_received_bytes();
    void dispatch_request();
    void watch_for_close();
    void respond(http1_request_id id, http1_response response);
    void reject(unsigned status);
    void write(http1_response response, bool keep_alive);
    /// Ends the connection but lets the caller read the last response.
    void linger();
    void discard_input();
    void start_timer(duration limit);
    http1_request take_request();
    void release_reserved_bytes();

    boost::asio::ip::tcp::socket m_socket;
    std::weak_ptr<http1_connection_owner> m_owner;
    single_shot_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    std::shared_ptr<wire_response> m_response;
    /// The bytes that m_response refers to.
    message_body m_response_body;
    http1_request_id m_request = 0;
    std::size_t m_reserved_bytes = 0;
    /// True while the connection waits for the first byte of a request.
    bool m_is_idle = false;
    bool m_keep_alive = false;
    bool m_is_head = false;
    bool m_closed = false;
};

} // namespace mulberry::detail
