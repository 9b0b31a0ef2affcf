#include "libs/peer/http2connection.h"

#include "libs/base/log.h"

#include <algorithm>

#include <boost/asio/buffer.hpp>

namespace mulberry::detail {

namespace {

using boost::system::error_code;

constexpr std::size_t write_batch_bytes = std::size_t{64} * 1024;
// The default window of 64 KiB would stall a 1 MiB body for many round trips between regions (20 ms each way).
constexpr std::int32_t stream_window_bytes = 1024 * 1024;
constexpr std::int32_t connection_window_bytes = 16 * 1024 * 1024;
// Time for which a finished connection waits for the peer to close it. Closing a socket with unread bytes would reset
// the connection and destroy the last responses.
constexpr std::chrono::seconds linger_limit{1};

constexpr std::array<std::uint8_t, 8> probe_ping_data{'p', 'r', 'o', 'b', 'e'};
constexpr std::array<std::uint8_t, 8> goaway_ping_data{'g', 'o', 'a', 'w', 'a', 'y'};

nghttp2_nv to_nv(const header_field& field)
{
    // nghttp2 copies the bytes and does not write through these pointers.
    auto bytes = [](std::string_view text) {
        return const_cast<std::uint8_t*>(static_cast<const std::uint8_t*>(static_cast<const void*>(text.data())));
    };
    return {bytes(field.first), bytes(field.second), field.first.size(), field.second.size(), NGHTTP2_NV_FLAG_NONE};
}

std::string_view to_text(const std::uint8_t* data, std::size_t size)
{
    return {static_cast<const char*>(static_cast<const void*>(data)), size};
}

bool is_protocol_violation(std::uint32_t code)
{
    return code == NGHTTP2_PROTOCOL_ERROR || code == NGHTTP2_FLOW_CONTROL_ERROR || code == NGHTTP2_STREAM_CLOSED ||
           code == NGHTTP2_FRAME_SIZE_ERROR;
}

ssize_t read_payload(nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t size, std::uint32_t* flags,
                     nghttp2_data_source* source, void*)
{
    auto& payload = *static_cast<outgoing_payload*>(source->ptr);
    const std::size_t count = payload.read({buffer, size});
    if (payload.is_sent())
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
}

} // namespace

std::size_t outgoing_payload::read(std::span<std::uint8_t> buffer)
{
    const bool is_in_head = sent_bytes < parts.head.size();
    const std::string_view rest = is_in_head ? std::string_view(parts.head).substr(sent_bytes)
                                             : parts.body.view().substr(sent_bytes - parts.head.size());
    const std::size_t count = std::min(buffer.size(), rest.size());
    std::copy_n(rest.data(), count, buffer.data());
    sent_bytes += count;
    return count;
}

struct http2_connection::callbacks {
    static http2_connection& self(void* data) { return *static_cast<http2_connection*>(data); }

    static bool begins_message(const nghttp2_frame* frame)
    {
        return frame->hd.type == NGHTTP2_HEADERS &&
               (frame->headers.cat == NGHTTP2_HCAT_REQUEST || frame->headers.cat == NGHTTP2_HCAT_RESPONSE);
    }

    static int begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* data)
    {
        if (begins_message(frame))
            self(data).on_message_begin(frame->hd.stream_id);
        return 0;
    }

    static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t name_size,
                      const std::uint8_t* value, std::size_t value_size, std::uint8_t, void* data)
    {
        if (begins_message(frame))
            self(data).on_field(frame->hd.stream_id, to_text(name, name_size), to_text(value, value_size));
        return 0;
    }

    static int frame_recv(nghttp2_session*, const nghttp2_frame* frame, void* data)
    {
        self(data).frame_received(*frame);
        return 0;
    }

    static int data_chunk(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* bytes,
                          std::size_t size, void* data)
    {
        self(data).on_data(stream, to_text(bytes, size));
        return 0;
    }

    static int stream_close(nghttp2_session*, std::int32_t stream, std::uint32_t code, void* data)
    {
        self(data).on_stream_close(stream, code, self(data).m_stream_reset_by_peer == stream);
        self(data).m_stream_reset_by_peer = 0;
        return 0;
    }

    static int frame_send(nghttp2_session*, const nghttp2_frame* frame, void* data)
    {
        self(data).frame_sent(*frame);
        return 0;
    }

    static int frame_not_send(nghttp2_session*, const nghttp2_frame* frame, int, void* data)
    {
        if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            self(data).on_request_not_written(frame->hd.stream_id);
        return 0;
    }

    static const nghttp2_session_callbacks* nghttp2_callbacks()
    {
        static nghttp2_session_callbacks* const shared = [] {
            nghttp2_session_callbacks* new_callbacks = nullptr;
            nghttp2_session_callbacks_new(&new_callbacks);
            nghttp2_session_callbacks_set_on_begin_headers_callback(new_callbacks, begin_headers);
            nghttp2_session_callbacks_set_on_header_callback(new_callbacks, header);
            nghttp2_session_callbacks_set_on_frame_recv_callback(new_callbacks, frame_recv);
            nghttp2_session_callbacks_set_on_data_chunk_recv_callback(new_callbacks, data_chunk);
            nghttp2_session_callbacks_set_on_stream_close_callback(new_callbacks, stream_close);
            nghttp2_session_callbacks_set_on_frame_send_callback(new_callbacks, frame_send);
            nghttp2_session_callbacks_set_on_frame_not_send_callback(new_callbacks, frame_not_send);
            return new_callbacks;
        }();
        return shared;
    }
};

http2_connection::http2_connection(std::shared_ptr<peer_security> security, boost::asio::ip::tcp::socket socket,
                                   role side, const peer_settings& settings, std::shared_ptr<peer_counters> counters)
    : m_security(std::move(security)), m_stream(m_security->make_stream(std::move(socket), side)), m_role(side),
      m_settings(settings), m_counters(std::move(counters)), m_probe_timer(m_stream->socket().get_executor()),
      m_linger_timer(m_stream->socket().get_executor())
{
}

http2_connection::~http2_connection() = default;

void http2_connection::start_session()
{
    nghttp2_session* session = nullptr;
    if (m_role == role::server) {
        nghttp2_session_server_new(&session, callbacks::nghttp2_callbacks(), this);
    }
    else {
        nghttp2_session_client_new(&session, callbacks::nghttp2_callbacks(), this);
    }
    m_session.reset(session);
    const std::array<nghttp2_settings_entry, 3> entries{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_settings.max_concurrent_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window_bytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, connection_window_bytes);
    flush();
    read();
    schedule_probe();
}

void http2_connection::submit_headers_and_payload(std::int32_t& stream, std::span<const header_field> fields,
                                                  outgoing_payload& payload, bool is_request)
{
    std::vector<nghttp2_nv> block;
    block.reserve(fields.size());
    std::ranges::transform(fields, std::back_inserter(block), to_nv);
    nghttp2_data_provider provider{};
    provider.source.ptr = &payload;
    provider.read_callback = read_payload;
    const nghttp2_data_provider* body = payload.parts.empty() ? nullptr : &provider;
    if (is_request) {
        stream = nghttp2_submit_request(m_session.get(), nullptr, block.data(), block.size(), body, nullptr);
    }
    else {
        nghttp2_submit_response(m_session.get(), stream, block.data(), block.size(), body);
    }
}

void http2_connection::submit_request(std::int32_t& stream, std::string_view path, outgoing_payload& payload)
{
    const std::string length = std::to_string(payload.parts.size());
    // The authority is mandatory in HTTP/2; the node is already identified by its certificate or its name field.
    std::vector<header_field> fields{{":method", "POST"},
                                     {":scheme", "https"},
                                     {":authority", "mulberry"},
                                     {":path", path},
                                     {"content-length", length}};
    if (!m_security->authenticates_connections()) {
        fields.emplace_back(peer_name_field, m_security->own_name());
        fields.emplace_back(peer_credential_field, m_security->credential());
    }
    submit_headers_and_payload(stream, fields, payload, true);
}

void http2_connection::submit_response(std::int32_t stream, std::string_view status, outgoing_payload& payload)
{
    const std::string length = std::to_string(payload.parts.size());
    const std::array<header_field, 2> fields{{{":status", status}, {"content-length", length}}};
    submit_headers_and_payload(stream, fields, payload, false);
}

void http2_connection::reset_stream(std::int32_t stream, std::uint32_t code)
{
    nghttp2_submit_rst_stream(m_session.get(), NGHTTP2_FLAG_NONE, stream, code);
}

void http2_connection::submit_goaway()
{
    nghttp2_submit_goaway(m_session.get(), NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(m_session.get()),
                          NGHTTP2_NO_ERROR, nullptr, 0);
}

void http2_connection::submit_graceful_goaway()
{
    m_goaway_pending = true;
    nghttp2_submit_shutdown_notice(m_session.get());
    nghttp2_submit_ping(m_session.get(), NGHTTP2_FLAG_NONE, goaway_ping_data.data());
}

std::uint32_t http2_connection::peer_stream_limit() const
{
    return nghttp2_session_get_remote_settings(m_session.get(), NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
}

void http2_connection::flush()
{
    if (m_inside_nghttp2 || m_write_in_progress || m_send_direction_closed || m_closed || !m_session)
        return;
    m_write_buffer.clear();
    m_inside_nghttp2 = true;
    ssize_t count = 0;
    while (m_write_buffer.size() < write_batch_bytes) {
        const std::uint8_t* bytes = nullptr;
        count = nghttp2_session_mem_send(m_session.get(), &bytes);
        if (count <= 0)
            break;
        m_write_buffer.insert(m_write_buffer.end(), bytes, bytes + count);
    }
    m_inside_nghttp2 = false;
    if (count < 0) {
        log_error("peer", "HTTP/2 session failed to send: {}.", nghttp2_strerror(static_cast<int>(count)));
        close();
        return;
    }
    if (!m_write_buffer.empty()) {
        write();
    }
    else if (nghttp2_session_want_read(m_session.get()) == 0 && nghttp2_session_want_write(m_session.get()) == 0) {
        close_send_direction();
    }
}

void http2_connection::write()
{
    m_write_in_progress = true;
    m_counters->bytes_sent += m_write_buffer.size();
    m_stream->write(boost::asio::buffer(m_write_buffer),
                    [this, self_reference = shared_from_this()](const error_code& error, std::size_t) {
                        m_write_in_progress = false;
                        if (error) {
                            close();
                        }
                        else {
                            flush();
                        }
                    });
}

void http2_connection::read()
{
    m_stream->read_some(boost::asio::buffer(m_read_buffer),
                        [this, self_reference = shared_from_this()](const error_code& error, std::size_t count) {
                            if (m_closed)
                                return;
                            if (error) {
                                close();
                                return;
                            }
                            receive(count);
                            if (!m_closed)
                                read();
                        });
}

void http2_connection::receive(std::size_t count)
{
    m_received_since_probe = true;
    m_counters->bytes_received += count;
    if (m_send_direction_closed)
        return;
    m_inside_nghttp2 = true;
    const ssize_t processed = nghttp2_session_mem_recv(m_session.get(), m_read_buffer.data(), count);
    m_inside_nghttp2 = false;
    if (processed < 0) {
        ++m_counters->protocol_errors;
        log_warning("peer", "Connection closed after an HTTP/2 error: {}.",
                    nghttp2_strerror(static_cast<int>(processed)));
        close();
        return;
    }
    flush();
}

void http2_connection::close_send_direction()
{
    m_send_direction_closed = true;
    error_code ignored;
    m_stream->socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    m_linger_timer.start(linger_limit, [this, self_reference = shared_from_this()] { close(); });
}

void http2_connection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    m_probe_timer.cancel();
    m_linger_timer.cancel();
    error_code ignored;
    m_stream->socket().close(ignored);
    on_closed();
}

void http2_connection::schedule_probe()
{
    m_received_since_probe = false;
    m_probe_timer.start(m_settings.ping_after, [this, self_reference = shared_from_this()] {
        if (m_closed)
            return;
        const bool is_silent = !m_received_since_probe && (m_goaway_pending || has_open_streams());
        if (is_silent && m_ping_outstanding) {
            log_warning("peer", "Connection closed: the peer does not respond to a PING.");
            close();
            return;
        }
        m_ping_outstanding = is_silent;
        if (is_silent) {
            nghttp2_submit_ping(m_session.get(), NGHTTP2_FLAG_NONE, probe_ping_data.data());
            flush();
        }
        if (!m_closed)
            schedule_probe();
    });
}

void http2_connection::frame_received(const nghttp2_frame& frame)
{
    const std::int32_t stream = frame.hd.stream_id;
    const bool is_acknowledgement = (frame.hd.flags & NGHTTP2_FLAG_ACK) != 0;
    switch (frame.hd.type) {
    case NGHTTP2_HEADERS:
        if (callbacks::begins_message(&frame))
            on_fields_end(stream);
        [[fallthrough]];
    case NGHTTP2_DATA:
        if ((frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
            on_message_end(stream);
        break;
    case NGHTTP2_SETTINGS:
        if (!is_acknowledgement)
            on_settings();
        break;
    case NGHTTP2_GOAWAY:
        on_goaway();
        break;
    case NGHTTP2_RST_STREAM:
        // nghttp2 closes the stream right after this callback.
        m_stream_reset_by_peer = stream;
        break;
    case NGHTTP2_PING:
        if (is_acknowledgement && m_goaway_pending && std::ranges::equal(frame.ping.opaque_data, goaway_ping_data)) {
            m_goaway_pending = false;
            submit_goaway();
        }
        break;
    default:
        break;
    }
}

void http2_connection::frame_sent(const nghttp2_frame& frame)
{
    if (frame.hd.type == NGHTTP2_HEADERS)
        on_fields_written(frame.hd.stream_id);
    const bool stream_error = frame.hd.type == NGHTTP2_RST_STREAM && is_protocol_violation(frame.rst_stream.error_code);
    const bool connection_error = frame.hd.type == NGHTTP2_GOAWAY && frame.goaway.error_code != NGHTTP2_NO_ERROR;
    if (!stream_error && !connection_error)
        return;
    ++m_counters->protocol_errors;
    const std::uint32_t code = stream_error ? frame.rst_stream.error_code : frame.goaway.error_code;
    log_warning("peer", "The peer violated the HTTP/2 protocol: {}.", nghttp2_http2_strerror(code));
}

} // namespace mulberry::detail
