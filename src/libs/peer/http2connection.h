#pragma once

#include "libs/eventloop/singleshottimer.h"
#include "libs/memory/messageparts.h"
#include "libs/peer/peersettings.h"
#include "libs/peer/peerstream.h"

#include <array>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nghttp2/nghttp2.h>

namespace mulberry::detail {

/// Header fields of a call between nodes whose handshake proves no name.
inline constexpr std::string_view peer_name_field = "mulberry-node";
inline constexpr std::string_view peer_credential_field = "mulberry-fleet-secret";

using header_field = std::pair<std::string_view, std::string_view>;

/// A payload that is being written to a stream; its owner keeps it until the stream has closed.
struct outgoing_payload {
    message_parts parts;
    std::size_t sent_bytes = 0;

    /// Copies the next bytes to the buffer and returns their number.
    std::size_t read(std::span<std::uint8_t> buffer);
    bool is_sent() const { return sent_bytes == parts.size(); }
};

/// One HTTP/2 session: transfers bytes between the socket and nghttp2, sends PINGs to silent peers and closes the
/// connection without losing written data. Subclasses handle the frames. The `on_...` functions, except on_closed(),
/// run inside nghttp2 callbacks and must not call out of the peer library.
class http2_connection : public std::enable_shared_from_this<http2_connection> {
public:
    http2_connection(const http2_connection&) = delete;
    http2_connection& operator=(const http2_connection&) = delete;
    virtual ~http2_connection();

    /// Closes the connection at once.
    void close();
    bool is_closed() const { return m_closed; }

protected:
    using role = peer_security::role;

    http2_connection(std::shared_ptr<peer_security> security, boost::asio::ip::tcp::socket socket, role side,
                     const peer_settings& settings, std::shared_ptr<peer_counters> counters);

    /// Starts the HTTP/2 session after the handshake.
    void start_session();
    /// Writes what nghttp2 has queued. Must be called after each submission; does nothing inside nghttp2's callbacks.
    void flush();

    void submit_request(std::int32_t& stream, std::string_view path, outgoing_payload& payload);
    void submit_response(std::int32_t stream, std::string_view status, outgoing_payload& payload);
    void reset_stream(std::int32_t stream, std::uint32_t code);
    /// Sends GOAWAY; the connection ends when no streams are open.
    void submit_goaway();
    /// Sends a shutdown notice and, after one round trip, the final GOAWAY, so that calls already on their way are
    /// still served.
    void submit_graceful_goaway();
    std::uint32_t peer_stream_limit() const;

    virtual void on_message_begin(std::int32_t stream) = 0;
    virtual void on_field(std::int32_t stream, std::string_view name, std::string_view value) = 0;
    virtual void on_fields_end(std::int32_t stream) = 0;
    virtual void on_data(std::int32_t stream, std::string_view piece) = 0;
    virtual void on_message_end(std::int32_t stream) = 0;
    /// The stream has ended with an HTTP/2 error code, by a reset from the peer or otherwise.
    virtual void on_stream_close(std::int32_t stream, std::uint32_t code, bool reset_by_peer) = 0;
    /// The header block of the message sent on this stream is in the write buffer.
    virtual void on_fields_written(std::int32_t stream) = 0;
    /// The header block of the request on this stream will never be written.
    virtual void on_request_not_written(std::int32_t /*stream*/) {}
    virtual void on_settings() {}
    virtual void on_goaway() {}
    /// The connection has ended; called once, outside of nghttp2 callbacks.
    virtual void on_closed() = 0;
    /// Returns true while calls are open; the connection then sends a PING to a silent peer.
    virtual bool has_open_streams() const = 0;

    peer_stream& stream() { return *m_stream; }
    peer_security& security() { return *m_security; }
    const peer_settings& settings() const { return m_settings; }
    peer_counters& counters() { return *m_counters; }
    bool is_session_started() const { return m_session != nullptr; }

private:
    struct session_deleter {
        void operator()(nghttp2_session* session) const { nghttp2_session_del(session); }
    };
    struct callbacks;

    void read();
    void receive(std::size_t count);
    void write();
    void close_send_direction();
    void schedule_probe();
    void submit_headers_and_payload(std::int32_t& stream, std::span<const header_field> fields,
                                    outgoing_payload& payload, bool is_request);
    void frame_received(const nghttp2_frame& frame);
    void frame_sent(const nghttp2_frame& frame);

    std::shared_ptr<peer_security> m_security;
    std::unique_ptr<peer_stream> m_stream;
    role m_role;
    peer_settings m_settings;
    std::shared_ptr<peer_counters> m_counters;
    std::unique_ptr<nghttp2_session, session_deleter> m_session;
    single_shot_timer m_probe_timer;
    single_shot_timer m_linger_timer;
    std::array<std::uint8_t, std::size_t{16} * 1024> m_read_buffer{};
    std::vector<std::uint8_t> m_write_buffer;
    bool m_inside_nghttp2 = false;
    bool m_write_in_progress = false;
    bool m_send_direction_closed = false;
    bool m_closed = false;
    bool m_received_since_probe = false;
    bool m_ping_outstanding = false;
    bool m_goaway_pending = false;
    // The stream whose reset by the peer nghttp2 is processing; 0 if there is none.
    std::int32_t m_stream_reset_by_peer = 0;
};

} // namespace mulberry::detail
