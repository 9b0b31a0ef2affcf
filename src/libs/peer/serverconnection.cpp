#include "libs/peer/serverconnection.h"

#include "libs/base/log.h"

#include <charconv>

namespace mulberry::detail {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t max_path_bytes = 1024;

} // namespace

stream_responder::~stream_responder()
{
    const auto connection = m_connection.lock();
    if (connection && !m_answered && !m_cancelled)
        connection->abandon(m_stream);
}

void stream_responder::answer(std::string payload)
{
    if (m_answered || m_cancelled)
        return;
    m_answered = true;
    m_on_cancelled = nullptr;
    if (const auto connection = m_connection.lock())
        connection->answer(m_stream, std::move(payload));
}

void stream_responder::reject()
{
    if (m_answered || m_cancelled)
        return;
    m_answered = true;
    m_on_cancelled = nullptr;
    if (const auto connection = m_connection.lock())
        connection->reject(m_stream);
}

void stream_responder::on_cancelled(std::function<void()> callback)
{
    if (m_answered)
        return;
    m_on_cancelled = std::move(callback);
    if (m_cancelled)
        post_cancellation();
}

void stream_responder::cancel()
{
    if (m_answered || m_cancelled)
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
    const auto keep = shared_from_this();
    error_code ignored;
    stream().socket().set_option(tcp::no_delay(true), ignored);
    m_handshake_timer.expires_after(settings().connect_timeout);
    m_handshake_timer.async_wait([this, keep](const error_code& error) {
        if (!error && !session_started())
            close();
    });
    stream().handshake([this, keep](const error_code& error) {
        if (closed())
            return;
        m_peer_name = error ? std::string() : stream().authenticated_name();
        if (error || (m_peer_name.empty() && security().authenticates_connections())) {
            close();
            return;
        }
        m_handshake_timer.cancel();
        ++counters().connections_opened;
        start_session();
        if (m_draining)
            drain();
    });
}

void server_connection::drain()
{
    m_draining = true;
    if (!session_started() || closed())
        return;
    submit_goaway_after_notice();
    flush();
}

void server_connection::answer(std::int32_t stream, std::string payload)
{
    call_state* call = find(stream);
    if (call == nullptr)
        return;
    if (payload.size() > settings().max_message_bytes) {
        ++counters().oversized_messages;
        log_error("peer", "An answer of {} bytes to {} is too large to be sent.", payload.size(), m_peer_name);
        submit_response(stream, "500", call->answer);
    }
    else {
        call->answer.bytes = std::move(payload);
        submit_response(stream, "200", call->answer);
    }
    flush();
}

void server_connection::reject(std::int32_t stream)
{
    call_state* call = find(stream);
    if (call == nullptr)
        return;
    submit_response(stream, "404", call->answer);
    flush();
}

void server_connection::abandon(std::int32_t stream)
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
    call.rejected = true;
    submit_response(stream, status, call.answer);
}

void server_connection::release(call_state& call)
{
    if (const auto owner = m_owner.lock())
        owner->release(std::exchange(call.reserved, 0));
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
        call->from = value;
    }
    else if (name == peer_credential_field) {
        call->credential = value;
    }
    else if (name == "content-length") {
        std::size_t length = 0;
        // nghttp2 has checked that the value is a number.
        std::from_chars(value.data(), value.data() + value.size(), length);
        call->expected = length;
    }
}

bool server_connection::is_from_fleet(const call_state& call)
{
    if (security().authenticates_connections())
        return true;
    const std::string_view secret = security().credential();
    return !secret.empty() && call.credential == secret && !call.from.empty();
}

void server_connection::on_fields_end(std::int32_t stream)
{
    call_state* call = find(stream);
    const auto owner = m_owner.lock();
    if (call == nullptr || !owner)
        return;
    if (call->method != "POST" || call->path.size() > max_path_bytes || !call->expected) {
        ++counters().protocol_errors;
        refuse(stream, *call, "400");
    }
    else if (!is_from_fleet(*call)) {
        refuse(stream, *call, "404");
    }
    else if (*call->expected > settings().max_message_bytes) {
        ++counters().oversized_messages;
        refuse(stream, *call, "413");
    }
    else if (!owner->reserve(*call->expected)) {
        call->rejected = true;
        reset_stream(stream, NGHTTP2_REFUSED_STREAM);
    }
    else {
        call->reserved = *call->expected;
    }
}

void server_connection::on_data(std::int32_t stream, std::string_view piece)
{
    call_state* call = find(stream);
    if (call != nullptr && !call->rejected)
        call->payload += piece;
}

void server_connection::on_message_end(std::int32_t stream)
{
    call_state* call = find(stream);
    const auto owner = m_owner.lock();
    if (call == nullptr || call->rejected || !owner)
        return;
    call->whole = true;
    release(*call);
    if (call->payload.size() != call->expected) {
        ++counters().length_mismatches;
        refuse(stream, *call, "400");
        return;
    }
    ++counters().calls;
    const auto self = std::static_pointer_cast<server_connection>(shared_from_this());
    auto responder = std::make_shared<stream_responder>(self, m_owner, stream);
    call->responder = responder;
    const std::string& from = security().authenticates_connections() ? m_peer_name : call->from;
    owner->deliver({from, std::move(call->path), std::move(call->payload)}, std::move(responder));
}

void server_connection::on_stream_close(std::int32_t stream, std::uint32_t code, bool reset_by_peer)
{
    const auto place = m_streams.find(stream);
    if (place == m_streams.end())
        return;
    const std::unique_ptr<call_state> call = std::move(place->second);
    m_streams.erase(place);
    release(*call);
    const bool broken = !reset_by_peer && code == NGHTTP2_PROTOCOL_ERROR;
    if (broken && !call->whole && call->expected && call->payload.size() < *call->expected)
        ++counters().length_mismatches;
    if (reset_by_peer)
        ++counters().calls_cancelled;
    if (const auto responder = call->responder.lock())
        responder->cancel();
}

void server_connection::on_fields_written(std::int32_t stream)
{
    const call_state* call = find(stream);
    // A reset that is submitted together with the response would overtake it.
    if (call != nullptr && call->rejected && !call->whole)
        reset_stream(stream, NGHTTP2_NO_ERROR);
}

void server_connection::on_closed()
{
    m_handshake_timer.cancel();
    if (!session_started()) {
        ++counters().connections_failed;
    }
    else if (!m_streams.empty()) {
        ++counters().connections_lost;
    }
    for (const auto& [stream, call] : std::exchange(m_streams, {})) {
        release(*call);
        if (const auto responder = call->responder.lock())
            responder->cancel();
    }
    if (const auto owner = m_owner.lock())
        owner->connection_closed(*this);
}

} // namespace mulberry::detail
