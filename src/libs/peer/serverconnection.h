#pragma once

#include "libs/peer/http2connection.h"
#include "libs/peer/peerhandler.h"

#include <map>
#include <optional>

namespace mulberry::detail {

class server_connection;

/// Services that a connection requires from the server that owns it. Implementations must not call back into the
/// connection.
class server_connection_owner {
public:
    server_connection_owner() = default;
    server_connection_owner(const server_connection_owner&) = delete;
    server_connection_owner& operator=(const server_connection_owner&) = delete;
    virtual ~server_connection_owner() = default;

    /// Passes a complete call to the handler later on the event loop, unless the responder has been cancelled by then.
    virtual void deliver(peer_request request, std::shared_ptr<class stream_responder> responder) = 0;
    /// Runs a task later on the event loop.
    virtual void post(std::function<void()> task) = 0;
    /// Reserves memory for the payload of a call; returns false if max_receiving_bytes would be exceeded.
    virtual bool reserve_bytes(std::size_t bytes) = 0;
    virtual void release_bytes(std::size_t bytes) = 0;
    /// Null if memory is not limited.
    virtual std::shared_ptr<memory_budget> memory() const = 0;
    virtual void on_connection_closed(server_connection& connection) = 0;
};

/// Sends the response to a call on its stream.
class stream_responder final : public peer_responder, public std::enable_shared_from_this<stream_responder> {
public:
    stream_responder(std::weak_ptr<server_connection> connection, std::weak_ptr<server_connection_owner> owner,
                     std::int32_t stream)
        : m_connection(std::move(connection)), m_owner(std::move(owner)), m_stream(stream)
    {
    }
    ~stream_responder() override;

    void respond(message_parts payload) override;
    void reject() override;
    void on_cancelled(std::function<void()> callback) override;

    /// Called when the stream has ended without a response.
    void cancel();
    bool is_cancelled() const { return m_cancelled; }

private:
    void post_cancellation();

    std::weak_ptr<server_connection> m_connection;
    std::weak_ptr<server_connection_owner> m_owner;
    std::int32_t m_stream;
    bool m_responded = false;
    bool m_cancelled = false;
    std::function<void()> m_on_cancelled;
};

/// A server's connection from one peer.
class server_connection final : public http2_connection {
public:
    server_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<peer_security> security,
                      const peer_settings& settings, std::shared_ptr<peer_counters> counters,
                      std::weak_ptr<server_connection_owner> owner);

    void accept();
    /// Whether a call with a valid credential has been received, so that the connection is that of a daemon.
    bool has_accepted_call() const { return m_has_accepted_call; }
    /// Announces the end to the peer by GOAWAY and closes once all calls have their responses.
    void drain();

    void respond(std::int32_t stream, message_parts payload);
    void reject(std::int32_t stream);
    /// Resets a stream that will never get a response.
    void reset_without_response(std::int32_t stream);

private:
    struct call_state {
        std::string method;
        /// Name of the sender as announced in the call, for connections whose handshake proves no name.
        std::string sender_name;
        std::string credential;
        std::string path;
        std::optional<std::size_t> announced_bytes;
        std::size_t reserved_bytes = 0;
        std::string payload;
        memory_reservation reservation;
        bool is_complete = false;
        bool is_rejected = false;
        outgoing_payload response;
        std::weak_ptr<stream_responder> responder;
    };

    bool has_valid_credential(const call_state& call);
    void refuse(std::int32_t stream, call_state& call, std::string_view status);
    void release_reserved_bytes(call_state& call);
    call_state* find(std::int32_t stream);

    void on_message_begin(std::int32_t stream) override;
    void on_field(std::int32_t stream, std::string_view name, std::string_view value) override;
    void on_fields_end(std::int32_t stream) override;
    void on_data(std::int32_t stream, std::string_view piece) override;
    void on_message_end(std::int32_t stream) override;
    void on_stream_close(std::int32_t stream, std::uint32_t code, bool reset_by_peer) override;
    void on_fields_written(std::int32_t stream) override;
    void on_closed() override;
    bool has_open_streams() const override { return !m_streams.empty(); }

    std::weak_ptr<server_connection_owner> m_owner;
    single_shot_timer m_handshake_timer;
    std::string m_peer_name;
    std::map<std::int32_t, std::unique_ptr<call_state>> m_streams;
    bool m_draining = false;
    bool m_has_accepted_call = false;
};

} // namespace mulberry::detail
