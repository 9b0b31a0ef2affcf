#include "tools/httpcaller/httpcaller.h"

#include "libs/base/asyncerror.h"

#include <curl/curl.h>
#include <fmt/format.h>

namespace mulberry {

namespace {

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* body)
{
    static_cast<std::string*>(body)->append(data, size * count);
    return size * count;
}

std::size_t append_header(char* data, std::size_t size, std::size_t count, void* headers)
{
    const std::string_view line(data, size * count);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return size * count;
    std::string_view value = line.substr(colon + 1);
    const std::size_t begin = value.find_first_not_of(" \t");
    value = begin == std::string_view::npos ? std::string_view() : value.substr(begin);
    value = value.substr(0, value.find_last_not_of(" \t\r\n") + 1);
    static_cast<http_headers*>(headers)->emplace_back(line.substr(0, colon), value);
    return size * count;
}

/// Allows only the first attempt of a request. libcurl resends a request by itself when a persistent connection is
/// lost, which would run a call twice without the daemon recognising the second one as a retry.
int allow_one_attempt(void* attempts, char*, char*, int, int)
{
    return ++*static_cast<int*>(attempts) == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

http_error error_from(CURLcode code, int attempts)
{
    if (attempts == 0)
        return http_error::not_sent;
    switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
        return http_error::timed_out;
    case CURLE_PARTIAL_FILE:
        return http_error::truncated;
    default:
        return http_error::connection_lost;
    }
}

struct slist_deleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

/// Makes libcurl's list of header fields. The empty "Expect" field disables "100-continue".
std::unique_ptr<curl_slist, slist_deleter> header_list(const http_headers& headers)
{
    curl_slist* fields = curl_slist_append(nullptr, "Expect:");
    for (const auto& [name, value] : headers)
        fields = curl_slist_append(fields, fmt::format("{}: {}", name, value).c_str());
    return std::unique_ptr<curl_slist, slist_deleter>(fields);
}

} // namespace

/// A curl handle, which keeps its connection open between calls.
class http_caller::connection {
public:
    connection() : m_handle(curl_easy_init()) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { curl_easy_cleanup(m_handle); }

    leaf::result<http_response> call(const std::string& url, const std::string& ca_file, duration timeout,
                                     const std::string& method, const http_headers& headers, std::string_view body)
    {
        http_response response;
        std::string received_body;
        int attempts = 0;
        const auto fields = header_list(headers);
        curl_easy_reset(m_handle);
        curl_easy_setopt(m_handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(m_handle, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
        curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, static_cast<long>(to_milliseconds(timeout)));
        curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, fields.get());
        if (!ca_file.empty())
            curl_easy_setopt(m_handle, CURLOPT_CAINFO, ca_file.c_str());
        if (method == "HEAD")
            curl_easy_setopt(m_handle, CURLOPT_NOBODY, 1L);
        if (!body.empty() || method == "POST" || method == "PUT" || method == "PATCH") {
            curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
            curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, body.data());
        }
        curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, method.c_str());
        curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, append_body);
        curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, &received_body);
        curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, append_header);
        curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, &response.headers);
        curl_easy_setopt(m_handle, CURLOPT_PREREQFUNCTION, allow_one_attempt);
        curl_easy_setopt(m_handle, CURLOPT_PREREQDATA, &attempts);
        const CURLcode code = curl_easy_perform(m_handle);
        if (code != CURLE_OK)
            return captured_error<http_response>(error_from(code, attempts));
        long status = 0;
        curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
        response.status = static_cast<int>(status);
        response.body = message_body(std::move(received_body));
        return response;
    }

private:
    CURL* m_handle;
};

http_caller::http_caller(std::string base_url, duration timeout, std::string ca_file)
    : m_base_url(std::move(base_url)), m_timeout(timeout), m_ca_file(std::move(ca_file))
{
}

http_caller::~http_caller() = default;

std::unique_ptr<http_caller::connection> http_caller::acquire_connection()
{
    const std::lock_guard lock(m_mutex);
    if (m_idle_connections.empty())
        return std::make_unique<connection>();
    auto acquired = std::move(m_idle_connections.back());
    m_idle_connections.pop_back();
    return acquired;
}

void http_caller::release_connection(std::unique_ptr<connection> idle)
{
    const std::lock_guard lock(m_mutex);
    m_idle_connections.push_back(std::move(idle));
}

leaf::result<http_response> http_caller::call(std::string_view method, std::string_view path,
                                              const http_headers& headers, std::string_view body)
{
    auto acquired = acquire_connection();
    auto response =
        acquired->call(m_base_url + std::string(path), m_ca_file, m_timeout, std::string(method), headers, body);
    release_connection(std::move(acquired));
    return response;
}

} // namespace mulberry
