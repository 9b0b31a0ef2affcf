#pragma once

#include "libs/base/time.h"
#include "libs/http/httpclient.h"

#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// Makes blocking HTTP calls over kept connections. An empty base URL makes every path a whole URL. Thread-safe.
class nested_caller {
public:
    nested_caller(std::string base_url, duration timeout);
    nested_caller(const nested_caller&) = delete;
    nested_caller& operator=(const nested_caller&) = delete;
    ~nested_caller();

    /// The answer; its status is 0 if none came.
    http_answer call(std::string_view method, std::string_view path, const http_headers& headers,
                     std::string_view body);

private:
    class connection;

    std::unique_ptr<connection> take();
    void give_back(std::unique_ptr<connection> idle);

    std::string m_base_url;
    duration m_timeout;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<connection>> m_idle;
};

} // namespace mulberry
