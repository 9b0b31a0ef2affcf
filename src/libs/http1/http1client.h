#pragma once

#include "libs/base/timerservice.h"
#include "libs/http/httpclient.h"

#include <memory>

namespace mulberry {

class event_loop;

struct http1_client_settings {
    std::size_t max_response_bytes = std::size_t{64} * 1024 * 1024;
    /// Maximum total of the bodies that are being received at a time. A response that exceeds it fails as too_large, so
    /// that servers whose responses never end cannot exhaust the memory of the process.
    std::size_t max_receiving_bytes = std::size_t{256} * 1024 * 1024;
    /// Time limit for establishing a connection.
    duration connect_timeout{std::chrono::seconds(1)};
    /// An idle connection is closed after this time, or earlier if the server announces a shorter one: then after the
    /// timeout of the server's Keep-Alive field less keep_alive_margin.
    duration idle_timeout{std::chrono::seconds(4)};
    duration keep_alive_margin{std::chrono::milliseconds(500)};
    /// A request that is not repeatable reuses only a connection that has been idle for less than this. If a server
    /// closes an idle connection while a request is on its way, it is unknown whether that request ran.
    duration unrepeatable_idle_limit{std::chrono::seconds(1)};
    /// Maximum number of idle connections per server.
    std::size_t max_idle_per_server = 64;
};

/// Sends HTTP/1.1 requests over persistent connections on the event loop, one request at a time on each connection.
/// URLs name servers by numeric address, as in "http://10.0.0.1:80/path".
class http1_client final : public http_client {
public:
    /// Responses count against the budget, if there is one, until the last copy of their body is released. A response
    /// for which no memory is left fails as too_large.
    http1_client(event_loop& loop, timer_service& timers, const http1_client_settings& settings = {},
                 std::shared_ptr<memory_budget> memory = nullptr);
    /// Closes all connections; callbacks of open requests are never called.
    ~http1_client() override;

    http_call_id send(http_request request, http_callback done) override;
    void cancel(http_call_id id) override;

    std::uint64_t connections_opened() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace mulberry
