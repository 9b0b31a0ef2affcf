#pragma once

#include "libs/peer/http2connection.h"
#include "libs/peer/peerhandler.h"

#include <map>
#include <optional>

namespace mulberry::detail {

class server_connection;

/// What a connection needs from the server that owns it. Calls must not re-enter the connection.
class server_connection_owner {
public:
    server_connection_owner() = default;
    server_connection_owner(const server_connection_owner&) = delete;
    server_connection_owner& operator=(const server_connection_owner&) = delete;
    virtual ~server_connection_owner() = default;

    /// Passes a whole call on, later; drops it if the responder has been cancelled by then.
    virtual void deliver(peer_request request, std::shared_ptr<class stream_responder> responder) = 0;
    /// Runs a task later on the event loop.
    virtual void post(std::function<void()> task) = 0;
    /// Takes room for a call that is to be received; false if there is none.
    virtual bool reserve(std::size_t bytes) = 0;
    virtual void release(std::size_t bytes) = 0;
    virtual void connection_closed(server_connection& connection) = 0;
};

/// Ties an answer to its stream.
class stream_responder final : public peer_responder, public std::enable_shared_from_this<stream_responder> {
public:
    stream_responder(std::weak_ptr<server_connection> connection, std::weak_ptr<server_connection_owner> owner,
                     std::int32_t stream)
        : m_connection(std::move(connection)), m_owner(std::move(owner)), m_stream(stream)
    {
    }
    ~stream_responder() override;

    void answer(std::string payload) override;
    void reject() override;
    void on_cancelled(std::function<void()> callback) override;

    /// The stream has ended without an answer.
    void cancel();
    bool cancelled() const { return m_cancelled; }

private:
    void post_cancellation();

    std::weak_ptr<server_connection> m_connection;
    std::weak_ptr<server_connection_owner> m_owner;
    std::int32_t m_stream;
    bool m_answered = false;
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
    /// Announces the end to the peer and ends once its calls are answered.
    void drain();

    void answer(std::int32_t stream, std::string payload);
    void reject(std::int32_t stream);
    /// Resets a stream that will never be answered.
    void abandon(std::int32_t stream);

private:
    struct call_state {
        std::string method;
        /// As the call itself says, on a connection that proves no name.
        std::string from;
        std::string credential;
        std::string path;
        std::optional<std::size_t> expected;
        std::size_t reserved = 0;
        std::string payload;
        bool whole = false;
        bool rejected = false;
        outgoing_payload answer;
        std::weak_ptr<stream_responder> responder;
    };

    bool is_from_fleet(const call_state& call);
    void refuse(std::int32_t stream, call_state& call, std::string_view status);
    void release(call_state& call);
    call_state* find(std::int32_t stream);

    void on_message_begin(std::int32_t stream) override;
    void on_field(std::int32_t stream, std::string_view name, std::string_view value) override;
    void on_fields_end(std::int32_t stream) override;
    void on_data(std::int32_t stream, std::string_view piece) override;
    void on_message_end(std::int32_t stream) override;
    void on_stream_close(std::int32_t stream, std::uint32_t code, bool reset_by_peer) override;
    void on_fields_written(std::int32_t stream) override;
    void on_closed() override;
    bool expects_traffic() const override { return !m_streams.empty(); }

    std::weak_ptr<server_connection_owner> m_owner;
    boost::asio::steady_timer m_handshake_timer;
    std::string m_peer_name;
    std::map<std::int32_t, std::unique_ptr<call_state>> m_streams;
    bool m_draining = false;
};

} // namespace mulberry::detail
