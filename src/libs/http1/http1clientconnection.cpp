#include "libs/http1/http1clientconnection.h"

#include "libs/base/asyncerror.h"
#include "libs/http/httpfields.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace mulberry::detail {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

// Responses to other requests that are skipped before the connection is closed.
constexpr int max_skipped_responses = 2;
// Interim responses (1xx) of one request after which the connection is closed; a server may send them without end.
constexpr int max_interim_responses = 8;
constexpr unsigned first_final_status = 200;
constexpr unsigned first_status = 100;
constexpr unsigned last_status = 599;
constexpr unsigned status_switching_protocols = 101;
// Maximum size of a status line with its header fields.
constexpr std::size_t max_head_bytes = std::size_t{8} * 1024;
constexpr std::string_view head_end = "\r\n\r\n";
// Maximum number of bytes that are read at a time.
constexpr std::size_t max_read_bytes = std::size_t{64} * 1024;
// Limit of the bytes that are read ahead of the parser. Chunk extensions and trailers count only here; everything else
// has limits of its own.
constexpr std::size_t max_buffered_bytes = std::size_t{128} * 1024;

std::optional<tcp::endpoint> endpoint_of(std::string_view server)
{
    const std::size_t colon = server.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = server.substr(colon + 1);
    const auto [end, parse_error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(server.substr(0, colon)), error);
    if (error || parse_error != std::errc{} || end != digits.data() + digits.size())
        return std::nullopt;
    return tcp::endpoint(address, port);
}

/// Checks what the parser accepts or repairs: a line that continues the previous one, which may be a field whose name
/// begins with a blank, and line ends other than CR LF. The head may be incomplete.
bool is_sound_response_head(std::string_view head)
{
    constexpr std::string_view version = "HTTP/1.";
    if (head.substr(0, version.size()) != version.substr(0, std::min(version.size(), head.size())))
        return false;
    for (std::size_t i = 0; i < head.size(); ++i) {
        const char next = i + 1 < head.size() ? head[i + 1] : '\0';
        if (head[i] == '\n' && (i == 0 || head[i - 1] != '\r' || next == ' ' || next == '\t'))
            return false;
        if (head[i] == '\r' && i + 1 < head.size() && next != '\n')
            return false;
    }
    return true;
}

/// Returns false for a status that no response can have, for field names and values with characters that are not
/// allowed there, and for contradictory framing.
bool has_sound_fields(const http::response<received_body>& message)
{
    const unsigned status = message.result_int();
    if (status < first_status || status > last_status || status == status_switching_protocols)
        return false;
    http_headers framing;
    for (const auto& field : message) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        const std::string_view value(field.value().data(), field.value().size());
        if (!is_token(name) || !is_field_value(value))
            return false;
        if (is_framing_field(name))
            framing.emplace_back(name, value);
    }
    return framing_of(framing) != body_framing::contradictory;
}

/// Returns the path and query of "http://host:port/path".
std::string_view target_of(std::string_view url)
{
    const std::size_t host = url.find("://");
    const std::size_t path = host == std::string_view::npos ? url.find('/') : url.find('/', host + 3);
    return path == std::string_view::npos ? std::string_view("/") : url.substr(path);
}

} // namespace

http1_client_connection::http1_client_connection(boost::asio::io_context& context, timer_service& timers,
                                                 const http1_client_settings& settings,
                                                 std::weak_ptr<http1_client_connection_owner> owner, std::string server)
    : m_socket(context), m_timers(timers), m_settings(settings), m_owner(std::move(owner)), m_server(std::move(server)),
      m_timer(context.get_executor()), m_buffer(max_buffered_bytes), m_idle_limit(settings.idle_timeout)
{
    if (const auto locked_owner = m_owner.lock())
        m_reservation = memory_reservation(locked_owner->memory());
}

void http1_client_connection::send(http_call_id id, http_request request)
{
    m_id = id;
    m_request = std::move(request);
    m_request_sent = false;
    m_skipped_responses = 0;
    m_interim_responses = 0;
    if (m_connected)
        return send_request();
    connect();
}

void http1_client_connection::start_timer(duration limit)
{
    m_timer.start(limit, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->fail(http_error::timed_out);
    });
}

void http1_client_connection::connect()
{
    const auto endpoint = endpoint_of(m_server);
    if (!endpoint) {
        boost::asio::post(m_socket.get_executor(),
                          [self = shared_from_this()] { self->fail(http_error::connection_lost); });
        return;
    }
    start_timer(std::min(m_settings.connect_timeout, m_request.timeout));
    m_socket.async_connect(*endpoint, [self = shared_from_this()](const error_code& error) {
        if (self->m_closed)
            return;
        if (error)
            return self->fail(http_error::connection_lost);
        self->m_connected = true;
        error_code ignored;
        self->m_socket.set_option(tcp::no_delay(true), ignored);
        if (const auto owner = self->m_owner.lock())
            owner->on_connected();
        self->send_request();
    });
}

void http1_client_connection::send_request()
{
    m_wire_request = std::make_shared<wire_request>();
    m_wire_request->version(11);
    m_wire_request->method_string(m_request.method);
    m_wire_request->target(std::string(target_of(m_request.url)));
    if (find_header(m_request.headers, "host").empty())
        m_wire_request->insert(http::field::host, m_server);
    for (const auto& [name, value] : m_request.headers)
        m_wire_request->insert(name, value);
    m_wire_request->body() = {m_request.body.data(), m_request.body.size()};
    if (!m_wire_request->body().empty() || m_request.method == "POST" || m_request.method == "PUT")
        m_wire_request->content_length(m_wire_request->body().size());
    m_request_sent = true;
    m_write_in_progress = true;
    m_write_failed = false;
    start_timer(m_request.timeout);
    http::async_write(m_socket, *m_wire_request,
                      [self = shared_from_this(), id = m_id](const error_code& error, std::size_t) {
                          // The end of the request is reported by the read, which may still receive a response that
                          // the server sent early.
                          if (self->m_id != id)
                              return;
                          self->m_write_in_progress = false;
                          self->m_write_failed = error.failed();
                          self->m_request.body = {};
                      });
    read();
}

void http1_client_connection::read()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->body_limit(m_settings.max_response_bytes);
    if (m_request.method == "HEAD")
        m_parser->skip(true);
    m_head_checked = false;
    release_reserved_bytes();
    if (m_buffer.size() > 0)
        return parse();
    read_more();
}

void http1_client_connection::read_more()
{
    const std::size_t size = beast::read_size(m_buffer, max_read_bytes);
    if (size == 0)
        return fail(http_error::too_large);
    m_socket.async_read_some(m_buffer.prepare(size),
                             [self = shared_from_this(), id = m_id](const error_code& error, std::size_t count) {
                                 if (self->m_closed || self->m_id != id)
                                     return;
                                 self->m_buffer.commit(count);
                                 self->on_read(error);
                             });
}

void http1_client_connection::on_read(error_code error)
{
    // A body without a length ends with the connection. If the request could not be written completely, the reset that
    // ended the connection may have been reported to the write, and the read sees an orderly end.
    const bool may_be_reset = m_write_in_progress || m_write_failed;
    if (error == boost::asio::error::eof && m_parser->is_header_done() && !may_be_reset) {
        error = {};
        m_parser->put_eof(error);
    }
    if (error == boost::asio::error::eof && m_buffer.size() > 0)
        return fail(http_error::truncated);
    if (error)
        return on_broken_message();
    if (m_parser->is_done())
        return on_message_end();
    const http_call_id id = m_id;
    parse();
    if (m_id != id || m_closed)
        return;
    if (m_request.stall_timeout > duration{0})
        start_timer(m_request.stall_timeout);
    if (m_request.on_progress)
        m_request.on_progress();
}

bool http1_client_connection::check_head(bool& is_complete) const
{
    const std::string_view received(static_cast<const char*>(m_buffer.data().data()), m_buffer.size());
    const std::size_t end = received.find(head_end);
    is_complete = end != std::string_view::npos;
    return is_sound_response_head(received.substr(0, is_complete ? end + head_end.size() : received.size()));
}

void http1_client_connection::parse()
{
    if (!m_head_checked) {
        if (!check_head(m_head_checked))
            return on_broken_message();
        if (!m_head_checked)
            return m_buffer.size() > max_head_bytes ? fail(http_error::too_large) : read_more();
    }
    const bool had_head = m_parser->is_header_done();
    error_code error;
    while (!error && !m_parser->is_done() && m_buffer.size() > 0)
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
    if (error == http::error::body_limit || error == http::error::header_limit || !reserve_received_bytes())
        return fail(http_error::too_large);
    if (error && error != http::error::need_more)
        return on_broken_message();
    if (!had_head && m_parser->is_header_done() && !has_sound_fields(m_parser->get()))
        return on_broken_message();
    if (m_parser->is_done())
        return on_message_end();
    read_more();
}

bool http1_client_connection::reserve_received_bytes()
{
    const std::size_t received = m_parser->get().body().size();
    if (!m_reservation.resize(m_buffer.size() + received))
        return false;
    const auto owner = m_owner.lock();
    if (!owner || received <= m_reserved_bytes)
        return true;
    if (!owner->reserve_body_bytes(received - m_reserved_bytes))
        return false;
    m_reserved_bytes = received;
    return true;
}

void http1_client_connection::release_reserved_bytes()
{
    m_reservation.release();
    const auto owner = m_owner.lock();
    if (owner && m_reserved_bytes > 0)
        owner->release_body_bytes(std::exchange(m_reserved_bytes, 0));
}

void http1_client_connection::on_broken_message()
{
    fail(m_parser->is_header_done() ? http_error::truncated : http_error::connection_lost);
}

void http1_client_connection::on_message_end()
{
    if (m_parser->get().result_int() < first_final_status) {
        if (++m_interim_responses > max_interim_responses)
            return fail(http_error::connection_lost);
        return read();
    }
    if (is_response_to_other_request()) {
        if (++m_skipped_responses > max_skipped_responses || !m_parser->keep_alive())
            return fail(http_error::connection_lost);
        return read();
    }
    if (is_ambiguous_response())
        return fail(http_error::connection_lost);
    on_response(m_parser->need_eof());
}

std::string_view http1_client_connection::echoed_value(const http_request& request)
{
    return request.echoed_field.empty() ? std::string_view{} : find_header(request.headers, request.echoed_field);
}

bool http1_client_connection::can_distinguish(const http_request& request) const
{
    const std::string_view value = echoed_value(request);
    return value.empty() || value != echoed_value(m_request);
}

bool http1_client_connection::is_response_to_other_request() const
{
    if (m_request.echoed_field.empty())
        return false;
    const auto echoed = m_parser->get()[m_request.echoed_field];
    return !echoed.empty() && std::string_view(echoed.data(), echoed.size()) != echoed_value(m_request);
}

bool http1_client_connection::is_ambiguous_response() const
{
    return m_has_served && !echoed_value(m_request).empty() && m_parser->get()[m_request.echoed_field].empty();
}

void http1_client_connection::update_idle_limit()
{
    m_idle_limit = m_settings.idle_timeout;
    const auto field = m_parser->get()[http::field::keep_alive];
    const std::string_view text(field.data(), field.size());
    const std::size_t at = text.find("timeout=");
    if (at == std::string_view::npos)
        return;
    std::int64_t seconds = 0;
    const std::string_view digits = text.substr(at + std::string_view("timeout=").size());
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (error != std::errc{} || end == digits.data())
        return;
    const duration allowed = std::chrono::seconds(std::min<std::int64_t>(seconds, 3600)) - m_settings.keep_alive_margin;
    m_idle_limit = std::min(m_idle_limit, std::max(allowed, duration{0}));
}

void http1_client_connection::on_response(bool ends_with_connection)
{
    update_idle_limit();
    // Bytes after a complete response belong to no request, and a connection whose request is still being written
    // cannot take another one; both are closed instead of being reused.
    const bool reusable = !ends_with_connection && m_parser->keep_alive() && m_buffer.size() == 0 &&
                          !m_write_in_progress && !m_write_failed && m_idle_limit > duration{0};
    auto message = m_parser->release();
    http_response response;
    response.status = static_cast<int>(message.result_int());
    for (const auto& field : message)
        response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    // The response has arrived, so it is not given up for its fields.
    static_cast<void>(m_reservation.resize(message.body().size() + held_bytes(response.headers)));
    response.body = message_body(std::move(message.body()), m_reservation.take());
    finish(std::move(response), reusable);
}

void http1_client_connection::fail(http_error error)
{
    finish(captured_error<http_response>(m_request_sent ? error : http_error::not_sent), false);
}

void http1_client_connection::finish(leaf::result<http_response> result, bool reusable)
{
    const auto self = shared_from_this();
    const http_call_id id = std::exchange(m_id, 0);
    m_timer.cancel();
    release_reserved_bytes();
    if (reusable) {
        m_has_served = true;
        m_parser.reset();
        m_wire_request.reset();
        m_buffer.shrink_to_fit();
    }
    else {
        // A read or write that has already completed may still be queued and uses the parser, the buffer and the
        // request, so these live as long as the connection, which the queued handler holds.
        close();
    }
    if (id == 0)
        return;
    if (const auto owner = m_owner.lock())
        owner->on_request_finished(*this, id, std::move(result), reusable);
}

void http1_client_connection::watch_while_idle()
{
    m_idle_since = m_timers.now();
    // Called by the timer or by the socket, whichever is first: the idle limit has passed, the server sent bytes that
    // belong to no request, or the connection has ended.
    const auto end = [weak = weak_from_this(), idle_period = ++m_idle_period] {
        const auto self = weak.lock();
        if (!self || self->m_id != 0 || self->m_closed || self->m_idle_period != idle_period)
            return;
        self->close();
        if (const auto owner = self->m_owner.lock())
            owner->on_idle_connection_closed(*self);
    };
    m_timer.start(m_idle_limit, end);
    m_socket.async_wait(tcp::socket::wait_read, [end](const error_code& error) {
        if (!error)
            end();
    });
}

void http1_client_connection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    release_reserved_bytes();
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
}

} // namespace mulberry::detail
