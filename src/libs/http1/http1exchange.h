#pragma once

#include "libs/base/timerservice.h"
#include "libs/http/httpclient.h"
#include "libs/http1/http1client.h"

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace mulberry::detail {

class http1_exchange;

/// What a client connection reports to its client.
class http1_exchange_owner {
public:
    http1_exchange_owner() = default;
    http1_exchange_owner(const http1_exchange_owner&) = delete;
    http1_exchange_owner& operator=(const http1_exchange_owner&) = delete;
    virtual ~http1_exchange_owner() = default;

    /// The exchange with this id has ended; `reusable` says whether the connection can take another one.
    virtual void finished(http1_exchange& connection, http_call_id id, leaf::result<http_answer> result,
                          bool reusable) = 0;
    /// An idle connection has ended.
    virtual void closed_while_idle(http1_exchange& connection) = 0;
    virtual void connected() = 0;
};

/// A connection to one server with at most one request in progress.
class http1_exchange final : public std::enable_shared_from_this<http1_exchange> {
public:
    http1_exchange(boost::asio::io_context& context, timer_service& timers, const http1_client_settings& settings,
                   std::weak_ptr<http1_exchange_owner> owner, std::string server);

    /// Sends a request, over a new connection if there is none yet.
    void send(http_call_id id, http_request request);
    /// Watches an idle connection, so that it is dropped when the server closes it or sends bytes.
    void idle();
    void close();

    const std::string& server() const { return m_server; }
    time_point idle_since() const { return m_idle_since; }
    /// How long the connection may stay idle.
    duration idle_limit() const { return m_idle_limit; }

private:
    using error_code = boost::system::error_code;
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    using wire_request = boost::beast::http::request<boost::beast::http::string_body>;

    void connect();
    void exchange();
    void read();
    void on_read(const error_code& error);
    void on_answer(bool whole_by_close);
    void arm(duration limit, http_error reason);
    void fail(http_error error);
    void finish(leaf::result<http_answer> result, bool reusable);
    bool is_for_another_request() const;
    void note_keep_alive();

    boost::asio::ip::tcp::socket m_socket;
    timer_service& m_timers;
    http1_client_settings m_settings;
    std::weak_ptr<http1_exchange_owner> m_owner;
    std::string m_server;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    http_request m_request;
    std::shared_ptr<wire_request> m_message;
    http_call_id m_id = 0;
    time_point m_idle_since;
    duration m_idle_limit;
    int m_foreign_answers = 0;
    bool m_connected = false;
    bool m_sent = false;
    bool m_writing = false;
    bool m_closed = false;
};

} // namespace mulberry::detail
