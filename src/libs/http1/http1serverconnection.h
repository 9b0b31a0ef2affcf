#pragma once

#include "libs/eventloop/singleshottimer.h"
#include "libs/http1/http1server.h"
#include "libs/http1/receivedbody.h"
#include "libs/http1/transferprogress.h"

#include <cstdint>
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
    /// Null if memory is not limited.
    virtual std::shared_ptr<memory_budget> memory() const = 0;
    virtual bool is_closing() const = 0;
    virtual http1_request_id next_request_id() = 0;
    virtual std::uint64_t next_phase_number() = 0;
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

    /// Order in which connections give way to new ones, and among those of one rank the order in which they began what
    /// they do. Empty if the connection must stay.
    struct eviction_order {
        int rank = 0;
        std::uint64_t phase_number = 0;

        bool precedes(const eviction_order& other) const
        {
            return rank == other.rank ? phase_number < other.phase_number : rank < other.rank;
        }
    };
    std::optional<eviction_order> eviction(transfer_progress::clock::time_point now) const;
    /// Whether an idle connection has received bytes that have not been read yet.
    bool has_new_request() const;

    /// Whether the caller sends the body of its request, or reads its response, slowly.
    bool is_slow(transfer_progress::clock::time_point now) const;
    /// Memory that close() gives back.
    std::size_t held_bytes() const { return m_reservation.bytes() + m_response_body.size(); }

private:
    using error_code = boost::system::error_code;
    using parser = boost::beast::http::request_parser<received_body>;
    using response_body = boost::beast::http::span_body<const char>;
    using wire_response = boost::beast::http::response<response_body>;
    using serializer = boost::beast::http::response_serializer<response_body>;

    /// What the connection does at the moment.
    enum class phase : std::uint8_t { idle, reading_head, reading_body, handling, writing, lingering };

    void enter(phase next);
    void await_request();
    void begin_head();
    void read_head();
    /// Responds with an error if the request is malformed or too large; closes if the caller has closed the connection.
    void handle_read_error(const error_code& error);
    void on_header();
    void read_body();
    void read_more_body();
    /// Reserves memory for what has been received.
    bool reserve_received_bytes();
    /// Reserves memory for the request that has been received, and moves the reservation out.
    std::optional<memory_reservation> reserve_request(const http1_request& request);
    void dispatch_request();
    void watch_for_close();
    /// Counts what the caller sends while its request is handled or its response is written.
    void watch_unread_bytes();
    void respond(http1_request_id id, http1_response response);
    void reject(unsigned status);
    void write(http1_response response, bool keep_alive);
    void write_more();
    void on_written();
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
    std::optional<wire_response> m_response;
    std::optional<serializer> m_serializer;
    /// The bytes that m_response refers to.
    message_body m_response_body;
    /// Memory of what has been received and is not part of a request in progress.
    memory_reservation m_reservation;
    /// Memory of the header fields of the request that is being received.
    std::size_t m_field_bytes = 0;
    transfer_progress m_progress;
    /// Started only for callers that send more while their request is in progress.
    std::optional<single_shot_timer> m_unread_timer;
    phase m_phase = phase::idle;
    std::uint64_t m_phase_number = 0;
    http1_request_id m_request = 0;
    std::size_t m_reserved_bytes = 0;
    bool m_keep_alive = false;
    /// Whether the connection stays open after the response that is being written.
    bool m_stays_open = false;
    bool m_is_head = false;
    bool m_closed = false;
};

} // namespace mulberry::detail
