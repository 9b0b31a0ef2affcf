#include "tools/mulberryctl/operatorsapi.h"

#include "libs/base/asyncerror.h"
#include "libs/json/jsonfields.h"

#include <algorithm>

#include <fmt/format.h>

namespace mulberry {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int first_server_error_status = 500;

/// All reads together take longer than the daemon's view lags behind the store while its failure domain is connected,
/// so that a write that took effect is found.
constexpr int max_read_backs = 10;
constexpr duration read_back_period = std::chrono::milliseconds(200);

template <typename Result>
leaf::result<Result> failure(exit_code code, std::string message, json details = nullptr)
{
    return captured_error<Result>(api_failure{code, std::move(message), std::move(details)});
}

json parse_body(const std::string& body)
{
    json parsed = parse_json(body);
    return parsed.is_object() ? parsed : json();
}

std::string message_of(int status, const json& body)
{
    if (body.is_object()) {
        if (const auto message = body.find("message"); message != body.end() && message->is_string())
            return message->get<std::string>();
    }
    return fmt::format("the daemon responded with status {}", status);
}

api_failure failure_of(int status, const json& body)
{
    const exit_code code = status >= first_server_error_status ? exit_code::unreachable : exit_code::refused;
    return {code, message_of(status, body), body};
}

/// Reads a document from a response body; unset if the members are missing or of another type.
std::optional<stored_document> document_of(const json& body)
{
    const bool valid = body.is_object() && body.contains("revision") && body["revision"].is_number_integer() &&
                       body.contains("content") && body["content"].is_string();
    if (!valid)
        return std::nullopt;
    return stored_document{body["revision"].get<std::int64_t>(), body["content"].get<std::string>()};
}

std::string document_path(std::string_view name)
{
    return fmt::format("/v1/documents/{}", name);
}

/// Returns whether the text may become a segment of a path. Names of documents and request ids contain only the allowed
/// characters; explain() percent-encodes the '#' of a request id.
bool is_plain_segment(std::string_view text)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.#";
    return !text.empty() && text.find_first_not_of(allowed) == std::string_view::npos && text != "." && text != "..";
}

std::string no_response_text(http_error error)
{
    return fmt::format("no response from the daemon: {}", to_string(error));
}

} // namespace

operators_api::operators_api(http_transport& transport, std::string credential, std::function<void(duration)> wait)
    : m_transport(transport), m_credential(std::move(credential)), m_wait(std::move(wait))
{
}

http_headers operators_api::headers() const
{
    return {{"Authorization", "Bearer " + m_credential}};
}

leaf::result<operators_api::json_response> operators_api::send(std::string_view method, std::string_view path)
{
    auto response = m_transport.call(method, path, headers(), "");
    if (!response) {
        const http_error error = error_of(std::move(response), http_error::connection_lost);
        return failure<json_response>(exit_code::unreachable, no_response_text(error));
    }
    return json_response{response->status, parse_body(std::string(response->body))};
}

leaf::result<json> operators_api::fetch(std::string_view method, std::string_view path)
{
    auto response = send(method, path);
    if (!response)
        return std::move(response).error();
    if (response->status != status_ok && response->status != status_accepted)
        return captured_error<json>(failure_of(response->status, response->body));
    if (!response->body.is_object())
        return failure<json>(exit_code::unreachable, "the daemon's response is not a JSON object");
    return std::move(response->body);
}

leaf::result<std::optional<stored_document>> operators_api::read(std::string_view name)
{
    using result = std::optional<stored_document>;
    if (!is_plain_segment(name))
        return failure<result>(exit_code::usage, fmt::format("\"{}\" is not the name of a document", name));
    auto response = send("GET", document_path(name));
    if (!response)
        return std::move(response).error();
    // A 404 without a JSON object comes from another server, and does not prove that the document is missing.
    if (response->status == status_not_found && response->body.is_object())
        return result();
    if (response->status != status_ok)
        return captured_error<result>(failure_of(response->status, response->body));
    auto document = document_of(response->body);
    if (!document)
        return failure<result>(exit_code::unreachable, "the daemon's response is not a document");
    return document;
}

leaf::result<write_outcome> operators_api::write(std::string_view name, std::string_view content,
                                                 std::int64_t expected_revision)
{
    if (!is_plain_segment(name))
        return failure<write_outcome>(exit_code::usage, fmt::format("\"{}\" is not the name of a document", name));
    http_headers fields = headers();
    fields.emplace_back("If-Match", fmt::format("\"{}\"", expected_revision));
    fields.emplace_back("Content-Type", "application/toml");
    auto response = m_transport.call("PUT", document_path(name), fields, content);
    if (!response) {
        const http_error error = error_of(std::move(response), http_error::connection_lost);
        if (error == http_error::not_sent)
            return failure<write_outcome>(exit_code::unreachable, no_response_text(error));
        return resolve_unknown_outcome(name, content, expected_revision, no_response_text(error));
    }
    const json body = parse_body(std::string(response->body));
    if (response->status == status_conflict && body.is_object()) {
        auto current = document_of(body);
        return write_outcome{false, current ? current->revision : 0, std::move(current)};
    }
    if (response->status == status_ok && body.is_object() && body.value("revision", json()).is_number_integer())
        return write_outcome{true, body["revision"].get<std::int64_t>(), std::nullopt};
    const bool has_no_effect =
        response->status >= 400 &&
        (response->status < first_server_error_status || (body.is_object() && body.value("written", json()) == false));
    if (has_no_effect)
        return captured_error<write_outcome>(failure_of(response->status, body));
    return resolve_unknown_outcome(name, content, expected_revision, message_of(response->status, body));
}

leaf::result<write_outcome> operators_api::resolve_unknown_outcome(std::string_view name, std::string_view content,
                                                                   std::int64_t expected_revision,
                                                                   const std::string& reason)
{
    for (int attempt = 0; attempt < max_read_backs; ++attempt) {
        if (attempt > 0)
            m_wait(read_back_period);
        auto found = read(name);
        if (!found)
            continue;
        const std::int64_t revision = *found ? (*found)->revision : 0;
        // The write may still be in transit, or the daemon's view does not contain it yet.
        if (revision <= expected_revision)
            continue;
        if ((*found)->content == content)
            return write_outcome{true, revision, std::nullopt};
        return write_outcome{false, revision, std::move(*found)};
    }
    return failure<write_outcome>(
        exit_code::unreachable,
        fmt::format("{}; the change may be in force, read the document before retrying", reason));
}

leaf::result<std::vector<std::string>> operators_api::missing_confirmations(std::int64_t revision)
{
    using result = std::vector<std::string>;
    auto body = fetch("GET", fmt::format("/v1/confirmations?revision={}", revision));
    if (!body)
        return std::move(body).error();
    const json missing = body->value("missing", json());
    const bool valid = missing.is_array() && std::ranges::all_of(missing, &json::is_string);
    if (!valid)
        return failure<result>(exit_code::unreachable, "the daemon's response has no list of missing confirmations");
    return missing.get<result>();
}

leaf::result<json> operators_api::status()
{
    return fetch("GET", "/v1/status");
}

leaf::result<json> operators_api::drain()
{
    return fetch("POST", "/v1/drain");
}

leaf::result<json> operators_api::explain(std::string_view request_id)
{
    if (!is_plain_segment(request_id))
        return failure<json>(exit_code::usage, fmt::format("\"{}\" is not a request id", request_id));
    std::string path = "/v1/explain/";
    for (const char c : request_id)
        path += c == '#' ? std::string("%23") : std::string(1, c);
    return fetch("GET", path);
}

} // namespace mulberry
