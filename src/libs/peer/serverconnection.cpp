#include "libs/peer/serverconnection.h"

#include "libs/base/log.h"
#include "libs/memory/receivebuffer.h"

#include <charconv>

namespace mulberry::detail {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t max_path_bytes = 1024;
// Maximum size of the name and of the secret of a sender.
constexpr std::size_t max_name_bytes = 256;

} // namespace

stream_responder::~stream_responder()
{
    const auto connection = m_connection.lock();
    if (connection && !m_responded && !m_cancelled)
        connection->reset_without_response(m_stream);
}

void stream_responder::respond(message_parts payload)
{
    if (m_responded || m_cancelled)
        return;
    m_responded = true;
    m_on_cancelled = nullptr;
    if (const auto connection = m_connection.lock())
        connection->respond(m_stream, std::move(payload));
}

void stream_responder::reject()
{
    if (m_responded || m_cancelled)
        return;
    m_responded = true;
    m_on_cancelled = nullptr;
    if (const auto connection = m_connection.lock())
        connection->reject(m_stream);
}

void stream_responder::on_cancelled(std::function<void()> callback)
{
    if (m_responded)
        return;
    m_on_cancelled = std::move(callback);
    if (m_cancelled)
        post_cancellation();
}

void stream_responder::cancel()
{
    if (m_responded || m_cancelled)
        return;
    m_cancelled = true;
    if (m_on_cancelled)
        post_cancellation();
}

void stream_responder::post_cancellation()
{
    const auto owner = m_owner.lock();
    if (!owner)
        return;
    owner->post([self = shared_from_this()] {
        if (const auto callback = std::exchange(self->m_on_cancelled, nullptr))
            callback();
    });
}

server_connection::server_connection(tcp::socket socket, std::shared_ptr<peer_security> security,
                                     const peer_settings& settings, std::shared_ptr<peer_counters> counters,
                                     std::weak_ptr<server_connection_owner> owner)
    : http2_connection(std::move(security), std::move(socket), role::server, settings, std::move(counters)),
      m_owner(std::move(owner)), m_handshake_timer(stream().socket().get_executor())
{
}

void server_connection::accept()
{
    const auto self_reference = shared_from_this();
    error_code ignored;
    stream().socket().set_option(tcp::no_delay(true), ignored);
    m_handshake_timer.start(settings().connect_timeout, [this, self_reference] {
        if (!is_session_started())
            close();
    });
    stream().handshake([this, self_reference](const error_code& error) {
        if (is_closed())
            return;
        m_peer_name = error ? std::string() : stream().authenticated_name();
        if (error || (m_peer_name.empty() && security().authenticates_connections())) {
            close();
            return;
        }
        ++counters().connections_opened;
        start_session();
        m_handshake_timer.start(settings().first_call_timeout, [this, self_reference] {
            if (!m_has_accepted_call)
                close();
        });
        if (m_draining)
            drain();
    });
}

void server_connection::drain()
{
    m_draining = true;
    if (!is_session_started() || is_closed())
        return;
    submit_graceful_goaway();
    flush();
}

void server_connection::respond(std::int32_t stream, message_parts payload)
{
    call_state* call = find(stream);
    if (call == nullptr)
        return;
    if (payload.size() > settings().max_message_bytes) {
        ++counters().oversized_messages;
        log_error("peer", "A response of {} bytes to {} exceeds the message limit and is not sent.", payload.size(),
                  m_peer_name);
        submit_response(stream, "500", call->response);
    }
    else {
        call->response.parts = std::move(payload);
        submit_response(stream, "200", call->response);
    }
    flush();
}

void server_connection::reject(std::int32_t stream)
{
    call_state* call = find(stream);
    if (call == nullptr)
        return;
    submit_response(stream, "404", call->response);
    flush();
}

void server_connection::reset_without_response(std::int32_t stream)
{
    if (find(stream) == nullptr)
        return;
    reset_stream(stream, NGHTTP2_INTERNAL_ERROR);
    flush();
}

server_connection::call_state* server_connection::find(std::int32_t stream)
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? nullptr : found->second.get();
}

void server_connection::refuse(std::int32_t stream, call_state& call, std::string_view status)
{
    call.is_rejected = true;
    submit_response(stream, status, call.response);
}

void server_connection::release_reserved_bytes(call_state& call)
{
    if (const auto owner = m_owner.lock())
        owner->release_bytes(std::exchange(call.reserved_bytes, 0));
}

void server_connection::on_message_begin(std::int32_t stream)
{
    m_streams.emplace(stream, std::make_unique<call_state>());
}

void server_connection::on_field(std::int32_t stream, std::string_view name, std::string_view value)
{
    call_state* call = find(stream);
    if (call == nullptr)
        return;
    if (name == ":method") {
        call->method = value;
    }
    else if (name == ":path") {
        call->path = value.substr(0, max_path_bytes + 1);
    }
    else if (name == peer_name_field) {
        call->sender_name = value.substr(0, max_name_bytes + 1);
    }
    else if (name == peer_credential_field) {
        call->credential = value.substr(0, max_name_bytes + 1);
    }
    else if (name == "content-length") {
        std::size_t length = 0;
        // nghttp2 has already checked that the value is a number.
        std::from_chars(value.data(), value.data() + value.size(), length);
        call->announced_bytes = length;
    }
}

bool server_connection::has_valid_credential(const call_state& call)
{
    if (security().authenticates_connections())
        return true;
    const std::string_view secret = security().credential();
    return !secret.empty() && call.credential == secret && !call.sender_name.empty();
}

void server_connection::on_fields_end(std::int32_t stream)
{
    call_state* call = find(stream);
    const auto owner = m_owner.lock();
    if (call == nullptr || !owner)
        return;
    if (call->method != "POST" || call->path.size() > max_path_bytes || !call->announced_bytes) {
        ++counters().protocol_errors;
        refuse(stream, *call, "400");
    }
    else if (!has_valid_credential(*call)) {
        refuse(stream, *call, "404");
    }
    else if (*call->announced_bytes > settings().max_message_bytes) {
        ++counters().oversized_messages;
        refuse(stream, *call, "413");
    }
    else if (!owner->reserve_bytes(*call->announced_bytes)) {
        call->is_rejected = true;
        reset_stream(stream, NGHTTP2_REFUSED_STREAM);
    }
    else {
        call->reserved_bytes = *call->announced_bytes;
        if (!std::exchange(m_has_accepted_call, true))
            m_handshake_timer.cancel();
        if (call->path == settings().metered_path)
            call->reservation = memory_reservation(owner->memory());
    }
}

void server_connection::on_data(std::int32_t stream, std::string_view piece)
{
    call_state* call = find(stream);
    if (call == nullptr || call->is_rejected)
        return;
    if (!call->reservation.resize(call->payload.size() + piece.size())) {
        call->is_rejected = true;
        call->payload = {};
        call->reservation.release();
        reset_stream(stream, NGHTTP2_REFUSED_STREAM);
        return;
    }
    make_room(call->payload, piece.size(), *call->announced_bytes);
    call->payload += piece;
}

void server_connection::on_message_end(std::int32_t stream)
{
    call_state* call = find(stream);
    const auto owner = m_owner.lock();
    if (call == nullptr || call->is_rejected || !owner)
        return;
    call->is_complete = true;
    release_reserved_bytes(*call);
    if (call->payload.size() != call->announced_bytes) {
        ++counters().length_mismatches;
        refuse(stream, *call, "400");
        return;
    }
    ++counters().calls;
    const auto self = std::static_pointer_cast<server_connection>(shared_from_this());
    auto responder = std::make_shared<stream_responder>(self, m_owner, stream);
    call->responder = responder;
    const std::string& sender_name = security().authenticates_connections() ? m_peer_name : call->sender_name;
    owner->deliver(
        {sender_name, std::move(call->path), message_body(std::move(call->payload), std::move(call->reservation))},
        std::move(responder));
}

void server_connection::on_stream_close(std::int32_t stream, std::uint32_t code, bool reset_by_peer)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return;
    const std::unique_ptr<call_state> call = std::move(found->second);
    m_streams.erase(found);
    release_reserved_bytes(*call);
    const bool is_protocol_error = !reset_by_peer && code == NGHTTP2_PROTOCOL_ERROR;
    if (is_protocol_error && !call->is_complete && call->announced_bytes &&
        call->payload.size() < *call->announced_bytes)
        ++counters().length_mismatches;
    if (reset_by_peer)
        ++counters().calls_cancelled;
    if (const auto responder = call->responder.lock())
        responder->cancel();
}

void server_connection::on_fields_written(std::int32_t stream)
{
    const call_state* call = find(stream);
    // The reset is submitted only after the response was written, because it would be sent first otherwise.
    if (call != nullptr && call->is_rejected && !call->is_complete)
        reset_stream(stream, NGHTTP2_NO_ERROR);
}

void server_connection::on_closed()
{
    m_handshake_timer.cancel();
    if (!is_session_started()) {
        ++counters().connections_failed;
    }
    else if (!m_streams.empty()) {
        ++counters().connections_lost;
    }
    for (const auto& [stream, call] : std::exchange(m_streams, {})) {
        release_reserved_bytes(*call);
        if (const auto responder = call->responder.lock())
            responder->cancel();
    }
    if (const auto owner = m_owner.lock())
        owner->on_connection_closed(*this);
}

} // namespace mulberry::detail
