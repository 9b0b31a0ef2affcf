#pragma once

#include "libs/base/timerservice.h"
#include "libs/eventloop/singleshottimer.h"
#include "libs/http/httpclient.h"
#include "libs/http1/http1client.h"
#include "libs/http1/receivedbody.h"

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace mulberry::detail {

class http1_client_connection;

/// Receives the events of a client connection.
class http1_client_connection_owner {
public:
    http1_client_connection_owner() = default;
    http1_client_connection_owner(const http1_client_connection_owner&) = delete;
    http1_client_connection_owner& operator=(const http1_client_connection_owner&) = delete;
    virtual ~http1_client_connection_owner() = default;

    /// The request with this id has a response or has failed; `reusable` is true if the connection can take another
    /// request.
    virtual void on_request_finished(http1_client_connection& connection, http_call_id id,
                                     leaf::result<http_response> result, bool reusable) = 0;
    /// An idle connection was closed, by its time limit or by the server.
    virtual void on_idle_connection_closed(http1_client_connection& connection) = 0;
    virtual void on_connected() = 0;
    /// Null if memory is not limited.
    virtual std::shared_ptr<memory_budget> memory() const = 0;
    /// Reserves memory for a part of a response body; returns false if max_receiving_bytes would be exceeded.
    virtual bool reserve_body_bytes(std::size_t bytes) = 0;
    virtual void release_body_bytes(std::size_t bytes) = 0;
};

/// A connection to one server with at most one request in progress.
class http1_client_connection final : public std::enable_shared_from_this<http1_client_connection> {
public:
    http1_client_connection(boost::asio::io_context& context, timer_service& timers,
                            const http1_client_settings& settings, std::weak_ptr<http1_client_connection_owner> owner,
                            std::string server);

    /// Sends a request, and connects first if the connection is not established yet.
    void send(http_call_id id, http_request request);
    /// Watches an idle connection and closes it when its idle limit has passed, when the server closes it or when the
    /// server sends bytes.
    void watch_while_idle();
    void close();

    /// Whether the value of the echoed field distinguishes the responses to this request from repeated responses to the
    /// connection's last request.
    bool can_distinguish(const http_request& request) const;

    const std::string& server() const { return m_server; }
    time_point idle_since() const { return m_idle_since; }
    /// Maximum time that the connection may stay idle before it is closed.
    duration idle_limit() const { return m_idle_limit; }

private:
    using error_code = boost::system::error_code;
    using parser = boost::beast::http::response_parser<received_body>;
    using wire_request = boost::beast::http::request<boost::beast::http::span_body<const char>>;

    void connect();
    void send_request();
    void read();
    void read_more();
    void on_read(error_code error);
    /// Parses what has been received, as far as possible.
    void parse();
    /// Returns false for a head that must not be parsed; `is_complete` says whether all of it has been received.
    bool check_head(bool& is_complete) const;
    void on_message_end();
    /// The response is malformed, or its connection has ended before it was complete.
    void on_broken_message();
    bool reserve_received_bytes();
    void release_reserved_bytes();
    void on_response(bool ends_with_connection);
    void start_timer(duration limit);
    /// Ends the request with this error, or with not_sent as long as nothing of it has been written.
    void fail(http_error error);
    void finish(leaf::result<http_response> result, bool reusable);
    bool is_response_to_other_request() const;
    /// True if the response does not name its request although an earlier request of the connection could be meant.
    bool is_ambiguous_response() const;
    /// Value of the request's echoed field; empty if it has none.
    static std::string_view echoed_value(const http_request& request);
    void update_idle_limit();

    boost::asio::ip::tcp::socket m_socket;
    timer_service& m_timers;
    http1_client_settings m_settings;
    std::weak_ptr<http1_client_connection_owner> m_owner;
    std::string m_server;
    single_shot_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    http_request m_request;
    std::shared_ptr<wire_request> m_wire_request;
    http_call_id m_id = 0;
    /// True once the connection has delivered a response.
    bool m_has_served = false;
    time_point m_idle_since;
    duration m_idle_limit;
    /// Number of times that the connection became idle.
    std::uint64_t m_idle_period = 0;
    int m_skipped_responses = 0;
    int m_interim_responses = 0;
    std::size_t m_reserved_bytes = 0;
    memory_reservation m_reservation;
    bool m_connected = false;
    bool m_request_sent = false;
    bool m_write_in_progress = false;
    bool m_write_failed = false;
    /// True once the head of the current response has been checked.
    bool m_head_checked = false;
    bool m_closed = false;
};

} // namespace mulberry::detail
