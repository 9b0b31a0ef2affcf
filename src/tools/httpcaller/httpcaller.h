#pragma once

#include "libs/base/time.h"
#include "libs/http/httpclient.h"

#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// Interface for blocking HTTP calls.
class http_transport {
public:
    http_transport() = default;
    http_transport(const http_transport&) = delete;
    http_transport& operator=(const http_transport&) = delete;
    virtual ~http_transport() = default;

    /// Sends a request and waits for the response. The path starts with "/". Errors are of type http_error.
    virtual leaf::result<http_response> call(std::string_view method, std::string_view path,
                                             const http_headers& headers, std::string_view body) = 0;
};

/// Calls one base URL over persistent connections with libcurl. A request is sent at most once. Thread-safe.
class http_caller final : public http_transport {
public:
    /// The timeout limits each call. `ca_file` names a file with the PEM certificates of the authorities for https; if
    /// it is empty, the system's authorities apply.
    http_caller(std::string base_url, duration timeout, std::string ca_file = {});
    ~http_caller() override;

    leaf::result<http_response> call(std::string_view method, std::string_view path, const http_headers& headers,
                                     std::string_view body) override;

private:
    class connection;

    /// Returns an idle connection, or a new one if there is none.
    std::unique_ptr<connection> acquire_connection();
    void release_connection(std::unique_ptr<connection> idle);

    std::string m_base_url;
    duration m_timeout;
    std::string m_ca_file;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<connection>> m_idle_connections;
};

} // namespace mulberry
