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
    m_wire_request->body() = std::move(m_request.body);
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
                      });
    read();
}

void http1_client_connection::read()
{
    m_parser.emplace();
    m_parser->body_limit(m_settings.max_response_bytes);
    if (m_request.method == "HEAD")
        m_parser->skip(true);
    release_reserved_bytes();
    read_more();
}

void http1_client_connection::read_more()
{
    http::async_read_some(m_socket, m_buffer, *m_parser,
                          [self = shared_from_this(), id = m_id](const error_code& error, std::size_t) {
                              if (!self->m_closed && self->m_id == id)
                                  self->on_read(error);
                          });
}

void http1_client_connection::on_read(const error_code& error)
{
    if (!reserve_received_bytes())
        return fail(http_error::too_large);
    if (error || m_parser->is_done())
        return on_message(error);
    if (m_request.stall_timeout > duration{0})
        start_timer(m_request.stall_timeout);
    if (m_request.on_progress)
        m_request.on_progress();
    read_more();
}

bool http1_client_connection::reserve_received_bytes()
{
    const std::size_t received = m_parser->get().body().size();
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
    const auto owner = m_owner.lock();
    if (owner && m_reserved_bytes > 0)
        owner->release_body_bytes(std::exchange(m_reserved_bytes, 0));
}

void http1_client_connection::on_message(const error_code& error)
{
    if (error == http::error::body_limit || error == http::error::buffer_overflow)
        return fail(http_error::too_large);
    if (error) {
        const bool response_started = m_parser->is_header_done() || error == http::error::partial_message;
        return fail(response_started ? http_error::truncated : http_error::connection_lost);
    }
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
    // A body without a length ends with the connection. If the request could not be written completely, the reset that
    // ended the connection may have been reported to the write, and the read saw an orderly end.
    if (m_parser->need_eof() && (m_write_in_progress || m_write_failed))
        return fail(http_error::truncated);
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
    response.body = std::move(message.body());
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
