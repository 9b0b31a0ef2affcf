#include "fakedaemon.h"

#include "libs/base/asyncerror.h"

namespace mulberry {

namespace {

using nlohmann::json;

constexpr std::string_view documents_path = "/v1/documents/";

http_response json_response(int status, const json& body)
{
    return {status, {}, body.dump()};
}

std::string header_value(const http_headers& headers, std::string_view name)
{
    for (const auto& [field, value] : headers) {
        if (field == name)
            return value;
    }
    return {};
}

} // namespace

leaf::result<http_response> fake_daemon::call(std::string_view method, std::string_view path,
                                              const http_headers& headers, std::string_view body)
{
    const std::string request = std::string(method) + " " + std::string(path);
    received_requests.push_back(request);
    if (const auto it = fixed_responses.find(request); it != fixed_responses.end())
        return it->second;
    if (header_value(headers, "Authorization") != "Bearer secret")
        return json_response(401, {{"message", "wrong credential"}});
    if (path.starts_with(documents_path)) {
        const std::string name(path.substr(documents_path.size()));
        return method == "PUT" ? put_document(name, headers, body) : get_document(name);
    }
    if (path.starts_with("/v1/confirmations?revision=")) {
        const auto listed = missing_confirmations.front();
        if (missing_confirmations.size() > 1)
            missing_confirmations.pop_front();
        return json_response(200, {{"missing", listed}});
    }
    return json_response(404, {{"message", "no such path"}});
}

leaf::result<http_response> fake_daemon::get_document(const std::string& name)
{
    if (reads_fail)
        return captured_error<http_response>(http_error::timed_out);
    const auto it = documents.find(name);
    if (it == documents.end())
        return json_response(404, {{"message", "no such document"}});
    return json_response(200, {{"revision", it->second.revision}, {"content", it->second.content}});
}

leaf::result<http_response> fake_daemon::put_document(const std::string& name, const http_headers& headers,
                                                      std::string_view body)
{
    ++put_count;
    if (before_put)
        std::exchange(before_put, nullptr)();
    put_fault fault = put_fault::none;
    if (!put_faults.empty()) {
        fault = put_faults.front();
        put_faults.pop_front();
    }
    if (fault == put_fault::not_sent)
        return captured_error<http_response>(http_error::not_sent);
    if (fault == put_fault::request_lost)
        return captured_error<http_response>(http_error::connection_lost);
    if (fault == put_fault::unavailable_not_written)
        return json_response(503, {{"message", "not a watcher"}, {"written", false}});
    const std::string match = header_value(headers, "If-Match");
    http_response response = write(name, std::stoll(match.substr(1)), body);
    if (fault == put_fault::response_lost)
        return captured_error<http_response>(http_error::timed_out);
    if (fault == put_fault::unavailable_after_write)
        return json_response(503, {{"message", "the store did not respond"}});
    return response;
}

http_response fake_daemon::write(const std::string& name, std::int64_t expected_revision, std::string_view body)
{
    const auto it = documents.find(name);
    const std::int64_t current_revision = it == documents.end() ? 0 : it->second.revision;
    if (current_revision != expected_revision) {
        if (it == documents.end())
            return json_response(409, json::object());
        return json_response(409, {{"revision", current_revision}, {"content", it->second.content}});
    }
    documents[name] = {++m_revision, std::string(body)};
    return json_response(200, {{"revision", m_revision}});
}

} // namespace mulberry
