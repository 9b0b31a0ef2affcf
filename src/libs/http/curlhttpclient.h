#pragma once

#include "libs/http/httpclient.h"

#include <memory>

namespace mulberry {

class event_loop;

struct curl_client_settings {
    /// Larger bodies end in http_error::too_large. Streams have no limit.
    std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;
    /// Maximum size of the header block of one response.
    std::size_t max_header_bytes = std::size_t{64} * 1024;
    duration connect_timeout{std::chrono::seconds(2)};
    /// Maximum number of connections to one host; further requests wait for a free one within their timeout.
    long max_connections_per_host = 1000;
    /// Maximum number of idle connections over all hosts.
    long max_idle_connections = 1000;
};

/// HTTP/1.1 client on libcurl's multi interface, driven by the event loop. All functions are called on the event loop's
/// thread, where the callbacks run as well.
///
/// A request is written to at most one connection: libcurl's own retry after the loss of a reused connection is
/// suppressed and reported as connection_lost. not_sent is reported only if the request was never passed to a
/// connection. A response that announces neither a length nor chunked encoding is reported as truncated, because its
/// end cannot be distinguished from a lost connection. Header fields that would break the framing (line breaks in names
/// or values) make the request fail as not_sent; Content-Length, Transfer-Encoding and Connection are set by the client
/// only. With a timeout of zero or less, send() fails as not_sent at once and stream() has no time limit. Redirects are
/// not followed.
class curl_http_client final : public streaming_http_client {
public:
    /// Responses count against the budget, if there is one, until the last copy of their body is released. A response
    /// for which no memory is left fails as too_large.
    explicit curl_http_client(event_loop& loop, const curl_client_settings& settings = {},
                              std::shared_ptr<memory_budget> memory = nullptr);
    ~curl_http_client() override;

    http_call_id send(http_request request, http_callback done) override;
    void cancel(http_call_id id) override;
    http_call_id stream(http_request request, std::function<void(std::string_view)> on_piece,
                        http_callback done) override;

private:
    class worker;

    std::shared_ptr<worker> m_worker;
    http_call_id m_last_id = 0;
};

} // namespace mulberry
