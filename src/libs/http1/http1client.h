#pragma once

#include "libs/base/timerservice.h"
#include "libs/http/httpclient.h"

#include <memory>

namespace mulberry {

class event_loop;

struct http1_client_settings {
    std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;
    /// Time for a connection to be established.
    duration connect_timeout{std::chrono::seconds(1)};
    /// An idle connection is kept for this time, or for what the server's Keep-Alive field says less keep_alive_margin.
    duration idle_timeout{std::chrono::seconds(4)};
    duration keep_alive_margin{std::chrono::milliseconds(500)};
    /// A request that must not run twice uses a kept connection only if it was idle for less than this, because a
    /// server that drops idle connections leaves open whether such a request ran.
    duration safe_idle{std::chrono::seconds(1)};
    /// Idle connections kept per server.
    std::size_t max_idle = 64;
};

/// Sends HTTP/1.1 requests over kept connections on the event loop, one request at a time on each connection. Servers
/// are given by number, "http://10.0.0.1:80/path".
class http1_client final : public http_client {
public:
    http1_client(event_loop& loop, timer_service& timers, const http1_client_settings& settings = {});
    /// Drops all connections; callbacks of open requests never come.
    ~http1_client() override;

    http_call_id send(http_request request, http_callback done) override;
    void cancel(http_call_id id) override;

    std::uint64_t connections_opened() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace mulberry
