#include "libs/http1/http1serverconnection.h"

#include "libs/http/httpfields.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/write.hpp>

namespace mulberry::detail {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

// Time for the caller to read the last response of a connection; closing a socket with unread bytes would reset the
// connection and could destroy the response.
constexpr std::chrono::seconds linger_limit{1};
// Added to the idle timeout that callers are given, so that a request rarely arrives just as the connection is closed.
constexpr std::chrono::seconds idle_margin{2};
// Bytes beyond the header limit that are read ahead of the parser, which also limits chunk extensions and trailers.
constexpr std::size_t max_read_ahead_bytes = std::size_t{64} * 1024;
// How often the bytes are counted that a caller has sent while its request is in progress.
constexpr std::chrono::milliseconds unread_check_period{200};
constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_header_too_large = 431;
constexpr unsigned status_unavailable = 503;
constexpr int status_bad_gateway = 502;
constexpr int first_final_status = 200;
constexpr int last_status = 599;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

http_headers headers_of(const http::fields& fields)
{
    http_headers headers;
    for (const auto& field : fields)
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return headers;
}

/// Returns false for a request without exactly one Host field or with contradictory framing, because the next hop could
/// interpret it differently.
bool is_unambiguous(const http_headers& headers)
{
    std::size_t hosts = 0;
    for (const auto& [name, value] : headers)
        hosts += is_same_name(name, "host") ? 1 : 0;
    return hosts == 1 && framing_of(headers) != body_framing::contradictory;
}

/// Returns whether the response can be written so that every receiver reads it in the same way.
bool is_writable(const http1_response& response)
{
    return response.status >= first_final_status && response.status <= last_status &&
           std::ranges::all_of(response.headers,
                               [](const auto& field) { return is_token(field.first) && is_field_value(field.second); });
}

/// Returns true for a protocol violation, false for the end of the connection.
bool is_malformed(const boost::system::error_code& error)
{
    const auto& protocol = http::make_error_code(http::error::end_of_stream).category();
    return error.category() == protocol && error != http::error::end_of_stream && error != http::error::partial_message;
}

} // namespace

http1_server_connection::http1_server_connection(tcp::socket socket, std::weak_ptr<http1_connection_owner> owner)
    : m_socket(std::move(socket)), m_owner(std::move(owner)), m_timer(m_socket.get_executor())
{
    if (const auto locked_owner = m_owner.lock())
        m_reservation = memory_reservation(locked_owner->memory());
}

void http1_server_connection::start()
{
    error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    await_request();
}

void http1_server_connection::start_timer(duration limit)
{
    m_timer.start(limit, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->close();
    });
}

void http1_server_connection::enter(phase next)
{
    m_phase = next;
    if (const auto owner = m_owner.lock())
        m_phase_number = owner->next_phase_number();
}

void http1_server_connection::await_request()
{
    const auto owner = m_owner.lock();
    if (m_closed || !owner)
        return close();
    m_parser.reset();
    if (m_buffer.size() > 0)
        return begin_head();
    m_buffer.shrink_to_fit();
    m_reservation.release();
    enter(phase::idle);
    start_timer(owner->limits().idle_timeout + idle_margin);
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
        if (error)
            return self->close();
        if (!self->m_closed)
            self->begin_head();
    });
}

void http1_server_connection::begin_head()
{
    const auto owner = m_owner.lock();
    if (!owner)
        return close();
    const http1_limits& limits = owner->limits();
    enter(phase::reading_head);
    m_buffer.max_size(limits.max_header_bytes + max_read_ahead_bytes);
    m_field_bytes = 0;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    m_parser->body_limit(limits.max_body_bytes);
    start_timer(limits.header_timeout);
    read_head();
}

void http1_server_connection::read_head()
{
    http::async_read_some(m_socket, m_buffer, *m_parser,
                          [self = shared_from_this()](const error_code& error, std::size_t) {
                              if (self->m_closed)
                                  return;
                              if (error == http::error::header_limit || error == http::error::buffer_overflow)
                                  return self->reject(status_header_too_large);
                              if (error)
                                  return self->handle_read_error(error);
                              if (!self->reserve_received_bytes())
                                  return self->reject(status_unavailable);
                              if (!self->m_parser->is_header_done())
                                  return self->read_head();
                              self->on_header();
                          });
}

void http1_server_connection::handle_read_error(const error_code& error)
{
    if (error == http::error::body_limit)
        return reject(status_too_large);
    if (is_malformed(error))
        return reject(status_bad_request);
    close();
}

void http1_server_connection::on_header()
{
    const auto owner = m_owner.lock();
    if (!owner)
        return close();
    const http_headers headers = headers_of(m_parser->get());
    if (!is_unambiguous(headers))
        return reject(status_bad_request);
    m_is_head = m_parser->get().method() == http::verb::head;
    m_field_bytes = mulberry::held_bytes(headers);
    const bool fits = m_parser->content_length().value_or(0) <= owner->limits().max_buffered_body_bytes;
    if (!fits || !reserve_received_bytes())
        return reject(status_unavailable);
    const auto expects = m_parser->get()[http::field::expect];
    if (!beast::iequals(expects, "100-continue"))
        return read_body();
    boost::asio::async_write(m_socket, boost::asio::buffer(continue_line.data(), continue_line.size()),
                             [self = shared_from_this()](const error_code& error, std::size_t) {
                                 if (error)
                                     return self->close();
                                 if (!self->m_closed)
                                     self->read_body();
                             });
}

void http1_server_connection::read_body()
{
    const auto owner = m_owner.lock();
    if (!owner)
        return close();
    if (m_parser->is_done())
        return dispatch_request();
    enter(phase::reading_body);
    m_progress.start(transfer_progress::clock::now());
    start_timer(owner->limits().transfer_timeout);
    read_more_body();
}

void http1_server_connection::read_more_body()
{
    http::async_read_some(m_socket, m_buffer, *m_parser,
                          [self = shared_from_this()](const error_code& error, std::size_t count) {
                              if (self->m_closed)
                                  return;
                              self->m_progress.add(count, transfer_progress::clock::now());
                              if (error == http::error::buffer_overflow)
                                  return self->reject(status_bad_request);
                              if (error)
                                  return self->handle_read_error(error);
                              if (!self->reserve_received_bytes())
                                  return self->reject(status_unavailable);
                              if (self->m_parser->is_done())
                                  return self->dispatch_request();
                              self->read_more_body();
                          });
}

bool http1_server_connection::reserve_received_bytes()
{
    const std::size_t received = m_parser->get().body().size();
    if (!m_reservation.resize(m_buffer.capacity() + m_field_bytes + received))
        return false;
    if (received <= m_reserved_bytes)
        return true;
    const auto owner = m_owner.lock();
    if (!owner || !owner->reserve_body_bytes(received - m_reserved_bytes))
        return false;
    m_reserved_bytes = received;
    return true;
}

std::optional<memory_reservation> http1_server_connection::reserve_request(const http1_request& request)
{
    // The fields are held by the entry and, if the upstream is beside this process, by the guard as well.
    constexpr std::size_t field_copies = 2;
    const std::size_t request_bytes =
        request.body.size() + request.target.size() + field_copies * mulberry::held_bytes(request.headers);
    if (!m_reservation.resize(m_buffer.capacity() + request_bytes))
        return std::nullopt;
    return m_reservation.split(request_bytes);
}

http1_request http1_server_connection::take_request()
{
    auto message = m_parser->release();
    m_parser.reset();
    http1_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.host = std::string(message[http::field::host]);
    request.headers = headers_of(message);
    request.body = message_body(std::move(message.body()));
    return request;
}

void http1_server_connection::dispatch_request()
{
    const auto owner = m_owner.lock();
    if (!owner)
        return close();
    m_timer.cancel();
    m_keep_alive = m_parser->get().keep_alive();
    http1_request request = take_request();
    if (m_buffer.size() == 0)
        m_buffer.shrink_to_fit();
    auto reservation = reserve_request(request);
    if (m_closed)
        return;
    if (!reservation)
        return reject(status_unavailable);
    request.body.attach(std::move(*reservation));
    enter(phase::handling);
    const http1_request_id id = owner->next_request_id();
    m_request = id;
    // Started before the handler is called, because the handler may respond within the call.
    watch_for_close();
    owner->handler().on_request(id, std::move(request), [weak = weak_from_this(), id](http1_response response) {
        if (const auto self = weak.lock())
            self->respond(id, std::move(response));
    });
}

void http1_server_connection::watch_for_close()
{
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), id = m_request](const error_code& error) {
        if (self->m_closed || self->m_request != id)
            return;
        std::array<char, 1> byte{};
        error_code result = error;
        std::size_t count = 0;
        if (!result) {
            self->m_socket.non_blocking(true, result);
            count = self->m_socket.receive(boost::asio::buffer(byte), tcp::socket::message_peek, result);
        }
        if (result == boost::asio::error::would_block)
            return self->watch_for_close();
        const bool has_next_request = !result && count > 0;
        if (!has_next_request)
            return self->close();
        self->watch_unread_bytes();
    });
}

void http1_server_connection::watch_unread_bytes()
{
    if (m_closed || (m_phase != phase::handling && m_phase != phase::writing))
        return;
    error_code error;
    const std::size_t unread = m_socket.available(error);
    if (error || !m_reservation.resize(m_buffer.capacity() + unread))
        return close();
    if (!m_unread_timer)
        m_unread_timer.emplace(m_socket.get_executor());
    m_unread_timer->start(unread_check_period, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->watch_unread_bytes();
    });
}

void http1_server_connection::respond(http1_request_id id, http1_response response)
{
    if (m_closed || m_request != id)
        return;
    m_request = 0;
    release_reserved_bytes();
    if (!is_writable(response))
        response = {status_bad_gateway, {}, {}};
    const auto owner = m_owner.lock();
    write(std::move(response), m_keep_alive && owner && !owner->is_closing());
}

void http1_server_connection::reject(unsigned status)
{
    http1_response response;
    response.status = static_cast<int>(status);
    release_reserved_bytes();
    write(std::move(response), false);
}

void http1_server_connection::write(http1_response response, bool keep_alive)
{
    const auto owner = m_owner.lock();
    if (!owner)
        return close();
    enter(phase::writing);
    m_stays_open = keep_alive;
    wire_response& message = m_response.emplace();
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    for (const auto& [name, value] : response.headers)
        message.insert(name, value);
    const bool bodiless = response.status == status_no_content || response.status == status_not_modified;
    if (!bodiless)
        message.content_length(response.body.size());
    if (!bodiless && !m_is_head)
        m_response_body = std::move(response.body);
    message.body() = {m_response_body.data(), m_response_body.size()};
    if (!keep_alive)
        message.set(http::field::connection, "close");
    m_serializer.emplace(message);
    m_progress.start(transfer_progress::clock::now());
    start_timer(owner->limits().transfer_timeout);
    write_more();
}

void http1_server_connection::write_more()
{
    http::async_write_some(m_socket, *m_serializer,
                           [self = shared_from_this()](const error_code& error, std::size_t count) {
                               if (error || self->m_closed)
                                   return self->close();
                               if (self->m_serializer->is_done())
                                   return self->on_written();
                               self->m_progress.add(count, transfer_progress::clock::now());
                               if (!self->m_unread_timer)
                                   self->watch_unread_bytes();
                               self->write_more();
                           });
}

void http1_server_connection::on_written()
{
    m_serializer.reset();
    m_response.reset();
    m_response_body = {};
    m_unread_timer.reset();
    if (m_stays_open)
        return await_request();
    linger();
}

void http1_server_connection::linger()
{
    error_code ignored;
    enter(phase::lingering);
    m_parser.reset();
    m_reservation.release();
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    // Not restarted by what the caller sends, which may be without end.
    start_timer(linger_limit);
    discard_input();
}

void http1_server_connection::discard_input()
{
    constexpr std::size_t discarded_bytes = 4096;
    m_buffer.clear();
    m_socket.async_read_some(m_buffer.prepare(discarded_bytes),
                             [self = shared_from_this()](const error_code& error, std::size_t) {
                                 if (error)
                                     return self->close();
                                 if (!self->m_closed)
                                     self->discard_input();
                             });
}

void http1_server_connection::release_reserved_bytes()
{
    const auto owner = m_owner.lock();
    if (owner && m_reserved_bytes > 0)
        owner->release(std::exchange(m_reserved_bytes, 0));
}

bool http1_server_connection::has_new_request() const
{
    error_code error;
    return m_phase == phase::idle && (m_socket.available(error) > 0 || m_buffer.size() > 0);
}

void http1_server_connection::close_if_idle()
{
    if (m_phase == phase::idle && !has_new_request())
        close();
}

std::optional<http1_server_connection::eviction_order>
http1_server_connection::eviction(transfer_progress::clock::time_point now) const
{
    enum rank : int { ended, idle, slow_head, slow_transfer };
    switch (m_phase) {
    case phase::lingering:
        return eviction_order{ended, m_phase_number};
    case phase::idle:
        return eviction_order{idle, m_phase_number};
    case phase::reading_head:
        return eviction_order{slow_head, m_phase_number};
    case phase::reading_body:
    case phase::writing:
        return is_slow(now) ? std::optional(eviction_order{slow_transfer, m_phase_number}) : std::nullopt;
    case phase::handling:
        break;
    }
    return std::nullopt;
}

bool http1_server_connection::is_slow(transfer_progress::clock::time_point now) const
{
    const bool transfers = m_phase == phase::reading_body || m_phase == phase::writing;
    return transfers && m_progress.is_slow(now);
}

void http1_server_connection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
    release_reserved_bytes();
    m_reservation.release();
    // An operation that is still queued does not use the bytes any more, because the socket is closed.
    m_response_body = {};
    m_unread_timer.reset();
    const auto owner = m_owner.lock();
    if (!owner)
        return;
    const auto self = shared_from_this();
    if (m_request != 0)
        owner->handler().on_caller_gone(std::exchange(m_request, 0));
    owner->connection_closed(*this);
}

} // namespace mulberry::detail
