#include "tools/standinupstream/nestedcaller.h"

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

/// Lets the first attempt through. libcurl repeats a request on its own when a kept connection is lost, which would run
/// a nested call twice without the daemon's knowledge.
int allow_one_attempt(void* attempts, char*, char*, int, int)
{
    return ++*static_cast<int*>(attempts) == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

} // namespace

/// A curl handle, which keeps its connection between calls.
class nested_caller::connection {
public:
    connection() : m_handle(curl_easy_init()) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { curl_easy_cleanup(m_handle); }

    http_answer call(const std::string& url, const std::string& method, const http_headers& headers,
                     std::string_view body, duration timeout)
    {
        http_answer answer;
        curl_slist* fields = curl_slist_append(nullptr, "Expect:");
        for (const auto& [name, value] : headers)
            fields = curl_slist_append(fields, fmt::format("{}: {}", name, value).c_str());
        curl_easy_reset(m_handle);
        curl_easy_setopt(m_handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
        curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, static_cast<long>(to_milliseconds(timeout)));
        curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, fields);
        if (method == "HEAD")
            curl_easy_setopt(m_handle, CURLOPT_NOBODY, 1L);
        if (!body.empty() || method == "POST" || method == "PUT" || method == "PATCH") {
            curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
            curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, body.data());
        }
        curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, method.c_str());
        curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, append_body);
        curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, &answer.body);
        curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, append_header);
        curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, &answer.headers);
        int attempts = 0;
        curl_easy_setopt(m_handle, CURLOPT_PREREQFUNCTION, allow_one_attempt);
        curl_easy_setopt(m_handle, CURLOPT_PREREQDATA, &attempts);
        if (curl_easy_perform(m_handle) == CURLE_OK) {
            long status = 0;
            curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
            answer.status = static_cast<int>(status);
        }
        curl_slist_free_all(fields);
        return answer;
    }

private:
    CURL* m_handle;
};

nested_caller::nested_caller(std::string base_url, duration timeout)
    : m_base_url(std::move(base_url)), m_timeout(timeout)
{
}

nested_caller::~nested_caller() = default;

std::unique_ptr<nested_caller::connection> nested_caller::take()
{
    const std::lock_guard lock(m_mutex);
    if (m_idle.empty())
        return std::make_unique<connection>();
    auto taken = std::move(m_idle.back());
    m_idle.pop_back();
    return taken;
}

void nested_caller::give_back(std::unique_ptr<connection> idle)
{
    const std::lock_guard lock(m_mutex);
    m_idle.push_back(std::move(idle));
}

http_answer nested_caller::call(std::string_view method, std::string_view path, const http_headers& headers,
                                std::string_view body)
{
    auto used = take();
    http_answer answer = used->call(m_base_url + std::string(path), std::string(method), headers, body, m_timeout);
    give_back(std::move(used));
    return answer;
}

} // namespace mulberry
