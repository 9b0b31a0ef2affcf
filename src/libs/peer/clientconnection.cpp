#include "libs/peer/clientconnection.h"

#include "libs/base/asyncerror.h"
#include "libs/base/log.h"
#include "libs/memory/receivebuffer.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/connect.hpp>

namespace mulberry::detail {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

peer_error error_of_status(std::string_view status)
{
    if (status == "400" || status == "404")
        return peer_error::rejected;
    if (status == "413")
        return peer_error::too_large;
    if (status == "500")
        return peer_error::answer_too_large;
    return peer_error::bad_answer;
}

} // namespace

client_connection::client_connection(boost::asio::io_context& context, std::shared_ptr<peer_security> security,
                                     const peer_settings& settings, std::shared_ptr<peer_counters> counters,
                                     std::weak_ptr<client_connection_owner> owner, std::string node_name,
                                     std::string address)
    : http2_connection(std::move(security), tcp::socket(context), role::client, settings, std::move(counters)),
      m_owner(std::move(owner)), m_node_name(std::move(node_name)), m_address(std::move(address)), m_resolver(context),
      m_connect_timer(context.get_executor()), m_idle_timer(context.get_executor())
{
}

void client_connection::connect()
{
    const auto self_reference = shared_from_this();
    m_connect_timer.start(settings().connect_timeout, [this, self_reference] {
        if (!m_settings_received)
            close();
    });
    const std::size_t colon = m_address.rfind(':');
    const std::string host = m_address.substr(0, colon);
    const std::string port = colon == std::string::npos ? std::string() : m_address.substr(colon + 1);
    m_resolver.async_resolve(
        host, port, tcp::resolver::numeric_service,
        [this, self_reference](const error_code& error, const tcp::resolver::results_type& endpoints) {
            if (error) {
                close();
            }
            else if (!is_closed()) {
                connect_to(endpoints);
            }
        });
}

void client_connection::connect_to(const tcp::resolver::results_type& endpoints)
{
    boost::asio::async_connect(
        stream().socket(), endpoints,
        [this, self_reference = shared_from_this()](const error_code& error, const tcp::endpoint&) {
            if (error) {
                close();
            }
            else if (!is_closed()) {
                handshake();
            }
        });
}

void client_connection::handshake()
{
    error_code ignored;
    stream().socket().set_option(tcp::no_delay(true), ignored);
    stream().handshake([this, self_reference = shared_from_this()](const error_code& error) {
        if (error) {
            close();
        }
        else if (!is_closed()) {
            verify_peer();
        }
    });
}

void client_connection::verify_peer()
{
    const std::string name = stream().authenticated_name();
    if (security().authenticates_connections() && name != m_node_name) {
        log_warning("peer", "Connection closed: expected node {} at {}, but its certificate names '{}'.", m_node_name,
                    m_address, name);
        close();
        return;
    }
    start_session();
}

void client_connection::submit(peer_call_id id, std::string path, message_parts payload)
{
    auto call = std::make_unique<call_state>();
    call->id = id;
    call->path = std::move(path);
    call->payload.parts = std::move(payload);
    m_waiting_calls.push_back(std::move(call));
    submit_waiting_calls();
    flush();
}

void client_connection::submit_waiting_calls()
{
    if (!m_settings_received || m_goaway_received)
        return;
    const std::size_t limit = std::min(settings().max_concurrent_streams, peer_stream_limit());
    while (!m_waiting_calls.empty() && m_streams.size() < limit) {
        std::unique_ptr<call_state> call = std::move(m_waiting_calls.front());
        m_waiting_calls.pop_front();
        std::int32_t stream = 0;
        submit_request(stream, call->path, call->payload);
        if (stream <= 0) {
            // All stream identifiers of this connection are used up.
            report_result(*call, peer_error::not_sent);
            m_retired = true;
            continue;
        }
        m_streams.emplace(stream, std::move(call));
    }
}

void client_connection::cancel(peer_call_id id)
{
    const auto waiting = std::ranges::find_if(m_waiting_calls, [id](const auto& call) { return call->id == id; });
    if (waiting != m_waiting_calls.end()) {
        m_waiting_calls.erase(waiting);
        return;
    }
    const auto open = std::ranges::find_if(m_streams, [id](const auto& entry) { return entry.second->id == id; });
    if (open == m_streams.end())
        return;
    open->second->is_cancelled = true;
    reset_stream(open->first, NGHTTP2_CANCEL);
    flush();
}

void client_connection::retire()
{
    m_retired = true;
    update_idle_state();
    flush();
}

void client_connection::update_idle_state()
{
    if (is_closed() || !m_streams.empty() || !m_waiting_calls.empty())
        return;
    if (m_retired) {
        if (m_settings_received) {
            submit_goaway();
        }
        else {
            close();
        }
        return;
    }
    m_idle_timer.start(settings().idle_timeout, [this, self_reference = shared_from_this()] {
        if (!is_closed() && m_streams.empty() && m_waiting_calls.empty())
            retire();
    });
}

leaf::result<message_body> client_connection::result_of(call_state& call, peer_error default_error)
{
    if (call.local_error)
        return captured_error<message_body>(*call.local_error);
    if (call.is_complete && call.status == "200")
        return message_body(std::move(call.response), std::move(call.reservation));
    if (call.is_complete)
        return captured_error<message_body>(error_of_status(call.status));
    return captured_error<message_body>(call.header_written ? default_error : peer_error::not_sent);
}

void client_connection::report_result(call_state& call, peer_error default_error)
{
    const auto owner = m_owner.lock();
    if (!owner || call.is_cancelled)
        return;
    if (call.announced_bytes && !call.is_complete && !call.local_error)
        ++counters().length_mismatches;
    owner->on_call_finished(call.id, result_of(call, default_error));
}

void client_connection::fail_waiting_calls()
{
    for (const auto& call : std::exchange(m_waiting_calls, {}))
        report_result(*call, peer_error::not_sent);
}

void client_connection::fail_stream(std::int32_t stream, call_state& call, peer_error error)
{
    call.local_error = error;
    reset_stream(stream, NGHTTP2_CANCEL);
}

client_connection::call_state* client_connection::find(std::int32_t stream)
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? nullptr : found->second.get();
}

void client_connection::on_message_begin(std::int32_t /*stream*/) {}

void client_connection::on_field(std::int32_t stream, std::string_view name, std::string_view value)
{
    call_state* call = find(stream);
    if (call == nullptr)
        return;
    if (name == ":status") {
        call->status = value;
    }
    else if (name == "content-length") {
        std::size_t length = 0;
        // nghttp2 has already checked that the value is a number.
        std::from_chars(value.data(), value.data() + value.size(), length);
        call->announced_bytes = length;
    }
}

void client_connection::on_fields_end(std::int32_t stream)
{
    call_state* call = find(stream);
    if (call == nullptr || call->local_error)
        return;
    if (!call->announced_bytes) {
        fail_stream(stream, *call, peer_error::bad_answer);
        return;
    }
    if (*call->announced_bytes > settings().max_message_bytes) {
        ++counters().oversized_messages;
        fail_stream(stream, *call, peer_error::answer_too_large);
        return;
    }
    const auto owner = m_owner.lock();
    if (owner && call->path == settings().metered_path)
        call->reservation = memory_reservation(owner->memory());
}

void client_connection::on_data(std::int32_t stream, std::string_view piece)
{
    call_state* call = find(stream);
    if (call == nullptr || call->local_error || call->is_cancelled)
        return;
    if (!call->reservation.resize(call->response.size() + piece.size())) {
        call->response = {};
        call->reservation.release();
        return fail_stream(stream, *call, peer_error::answer_too_large);
    }
    make_room(call->response, piece.size(), *call->announced_bytes);
    call->response += piece;
}

void client_connection::on_message_end(std::int32_t stream)
{
    call_state* call = find(stream);
    if (call == nullptr || call->local_error)
        return;
    if (call->announced_bytes && call->response.size() == *call->announced_bytes) {
        call->is_complete = true;
    }
    else if (!call->is_cancelled) {
        fail_stream(stream, *call, peer_error::bad_answer);
    }
}

void client_connection::on_stream_close(std::int32_t stream, std::uint32_t code, bool reset_by_peer)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return;
    const std::unique_ptr<call_state> call = std::move(found->second);
    m_streams.erase(found);
    peer_error default_error = peer_error::connection_lost;
    if (!reset_by_peer && code == NGHTTP2_PROTOCOL_ERROR) {
        default_error = peer_error::bad_answer;
    }
    else if (code == NGHTTP2_REFUSED_STREAM && call->status.empty()) {
        default_error = peer_error::refused;
    }
    report_result(*call, default_error);
    submit_waiting_calls();
    update_idle_state();
}

void client_connection::on_fields_written(std::int32_t stream)
{
    call_state* call = find(stream);
    if (call != nullptr)
        call->header_written = true;
}

void client_connection::on_request_not_written(std::int32_t stream)
{
    on_stream_close(stream, NGHTTP2_NO_ERROR, false);
}

void client_connection::on_settings()
{
    if (!m_settings_received) {
        m_settings_received = true;
        m_connect_timer.cancel();
        ++counters().connections_opened;
        update_idle_state();
    }
    submit_waiting_calls();
}

void client_connection::on_goaway()
{
    m_goaway_received = true;
    m_retired = true;
    fail_waiting_calls();
}

void client_connection::on_closed()
{
    m_resolver.cancel();
    m_connect_timer.cancel();
    m_idle_timer.cancel();
    if (!m_settings_received) {
        ++counters().connections_failed;
    }
    else if (!m_retired || !m_streams.empty()) {
        ++counters().connections_lost;
    }
    m_retired = true;
    fail_waiting_calls();
    for (const auto& [stream, call] : std::exchange(m_streams, {}))
        report_result(*call, peer_error::connection_lost);
    if (const auto owner = m_owner.lock())
        owner->on_connection_closed(*this);
}

} // namespace mulberry::detail
