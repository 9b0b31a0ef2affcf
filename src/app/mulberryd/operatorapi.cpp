#include "app/mulberryd/operatorapi.h"

#include "app/mulberryd/operatorjson.h"
#include "libs/base/asyncerror.h"

#include <charconv>
#include <utility>

#include <sodium.h>

namespace mulberry {

namespace {

constexpr std::string_view documents_path = "/v1/documents/";
constexpr std::string_view explain_path = "/v1/explain/";
constexpr std::string_view bearer_prefix = "Bearer ";

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_bad_request = 400;
constexpr int status_unauthorised = 401;
constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;

void send_json_response(http_responder& responder, int status, const nlohmann::json& body)
{
    responder.respond({status, {{"Content-Type", "application/json"}}, dump(body)});
}

void response_error(http_responder& responder, int status, std::string_view error, std::string_view message)
{
    send_json_response(responder, status, {{"error", error}, {"message", message}});
}

std::optional<std::int64_t> parse_number(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value < 0)
        return std::nullopt;
    return value;
}

/// Parses the revision in an If-Match field, which may be quoted. "0" means that the document must not exist yet.
std::optional<std::int64_t> parse_if_match(std::string_view field)
{
    if (field.size() >= 2 && field.front() == '"' && field.back() == '"')
        field = field.substr(1, field.size() - 2);
    return parse_number(field);
}

/// Compares in constant time, so that the duration reveals nothing about the secret.
bool equal_secrets(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

operator_api::operator_api(operator_dependencies dependencies, std::string credential)
    : m_dependencies(std::move(dependencies)), m_credential(std::move(credential))
{
}

bool operator_api::is_authorised(const http_server_request& request) const
{
    const std::string_view field = find_header(request.headers, "authorization");
    return !m_credential.empty() && field.starts_with(bearer_prefix) &&
           equal_secrets(field.substr(bearer_prefix.size()), m_credential);
}

void operator_api::on_request(http_server_request request, std::shared_ptr<http_responder> responder)
{
    if (!is_authorised(request))
        return response_error(*responder, status_unauthorised, "unauthorised", "The operators' credential is missing.");
    if (request.method == "GET")
        return route_get(request, responder);
    const bool names_document = request.path.starts_with(documents_path);
    if (names_document && (request.method == "PUT" || request.method == "DELETE"))
        return write_document(request, std::string_view(request.path).substr(documents_path.size()), responder);
    if (request.method == "POST" && request.path == "/v1/drain") {
        send_json_response(*responder, status_accepted, {{"draining", true}});
        return m_dependencies.begin_drain();
    }
    response_error(*responder, status_not_found, "not_found", "There is no such operation.");
}

void operator_api::route_get(const http_server_request& request, const responder_ptr& responder)
{
    const std::string_view path = request.path;
    if (path == "/v1/status")
        return send_json_response(*responder, status_ok, status_json(m_dependencies.owner));
    if (path == "/metrics")
        return get_metrics(responder);
    if (path == "/v1/confirmations")
        return get_confirmations(request.query, responder);
    if (path.starts_with(documents_path))
        return get_document(path.substr(documents_path.size()), responder);
    if (path.starts_with(explain_path))
        return get_explanation(path.substr(explain_path.size()), responder);
    response_error(*responder, status_not_found, "not_found", "There is no such page.");
}

void operator_api::get_document(std::string_view key, const responder_ptr& responder) const
{
    const config_document* document = m_dependencies.owner.view().find(std::string(documents_prefix).append(key));
    if (document == nullptr)
        return response_error(*responder, status_not_found, "not_found", "There is no such document.");
    send_json_response(*responder, status_ok, document_json(*document));
}

void operator_api::write_document(const http_server_request& request, std::string_view key,
                                  const responder_ptr& responder)
{
    const auto expected = parse_if_match(find_header(request.headers, "if-match"));
    if (!expected) {
        return response_error(*responder, status_bad_request, "bad_request",
                              "A write needs If-Match with the revision that it replaces, or 0 for a new document.");
    }
    write_request write;
    write.key = std::string(documents_prefix).append(key);
    write.expected_revision = *expected;
    if (request.method == "PUT")
        write.content = request.body;
    if (!m_dependencies.owner.relay().is_watcher()) {
        return forward_write(
            write, m_dependencies.owner.relay().watchers(m_dependencies.owner.settings().location.failure_domain),
            responder);
    }
    m_dependencies.owner.writer().write(std::move(write), [responder](leaf::result<write_result> result) {
        const write_response response = make_write_response(std::move(result));
        send_json_response(*responder, response.status, response.body);
    });
}

void operator_api::forward_write(const write_request& write, std::vector<std::string> watchers,
                                 const responder_ptr& responder)
{
    std::optional<std::string> address;
    std::string watcher;
    while (!address && !watchers.empty()) {
        watcher = std::move(watchers.back());
        watchers.pop_back();
        address = m_dependencies.addresses.find_address(watcher);
    }
    if (!address) {
        return send_json_response(
            *responder, status_unavailable,
            {{"error", "no_watcher"}, {"message", "No watcher of this domain can be reached."}, {"written", false}});
    }
    m_dependencies.peers.call(
        watcher, *address, document_write_path, encode_write_request(write),
        [this, write, watchers, responder](leaf::result<message_body> result) {
            const auto response = result ? decode_write_response(*result) : std::nullopt;
            if (response)
                return send_json_response(*responder, response->status, response->body);
            if (!result && is_certainly_unprocessed(error_of(std::move(result), peer_error::connection_lost)))
                return forward_write(write, watchers, responder);
            response_error(*responder, status_bad_gateway, "unknown_outcome",
                           "The watcher did not answer; read the document to find out whether it was written.");
        });
}

void operator_api::on_call(peer_request request, std::shared_ptr<peer_responder> responder)
{
    auto write = decode_write_request(request.payload);
    if (!write)
        return responder->reject();
    m_dependencies.owner.writer().write(std::move(*write), [responder](leaf::result<write_result> result) {
        const write_response response = make_write_response(std::move(result));
        responder->respond(encode_write_response(response));
    });
}

void operator_api::get_confirmations(std::string_view query, const responder_ptr& responder) const
{
    constexpr std::string_view prefix = "revision=";
    const auto revision = query.starts_with(prefix) ? parse_number(query.substr(prefix.size())) : std::nullopt;
    if (!revision)
        return response_error(*responder, status_bad_request, "bad_request", "The query must be revision=NUMBER.");
    const pending_confirmations pending = m_dependencies.owner.relay().unconfirmed(*revision);
    std::vector<std::string> missing = pending.nodes;
    for (const std::string& domain : pending.domains)
        missing.push_back("domain " + domain);
    send_json_response(*responder, status_ok, {{"revision", *revision}, {"missing", missing}});
}

void operator_api::get_explanation(std::string_view request_id, const responder_ptr& responder)
{
    m_dependencies.owner.account().explain(request_id,
                                           [id = std::string(request_id), responder](const explanation& account) {
                                               send_json_response(*responder, status_ok, explanation_json(id, account));
                                           });
}

void operator_api::get_metrics(const responder_ptr& responder)
{
    update_gauges();
    responder->respond({status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, m_dependencies.metrics.text()});
}

void operator_api::update_gauges()
{
    node& owner = m_dependencies.owner;
    daemon_metrics& metrics = m_dependencies.metrics;
    metrics.set_gauge("mulberry_requests_in_progress", "Requests that this entry has not answered yet.",
                      static_cast<double>(owner.entry().in_progress()));
    metrics.set_gauge("mulberry_upstream_running", "Requests that run at this node's upstream.",
                      static_cast<double>(owner.guard().admission().running()));
    metrics.set_gauge("mulberry_upstream_waiting", "Requests that wait for this node's upstream.",
                      static_cast<double>(owner.guard().admission().waiting()));
    metrics.set_gauge("mulberry_concurrency_limit", "Requests that this node's upstream may run at once.",
                      owner.guard().admission().concurrency_limit());
    metrics.set_gauge("mulberry_configuration_revision", "Highest revision of a document in force.",
                      static_cast<double>(owner.view().newest_revision()));
    const auto age = owner.relay().age();
    metrics.set_gauge("mulberry_view_age_seconds", "Age of the view of the documents; -1 before the first view.",
                      age ? to_seconds(*age) : -1);
    metrics.set_message_memory(m_dependencies.message_memory);
    metrics.set_gauge("mulberry_account_bytes", "Memory used by decision records.",
                      static_cast<double>(owner.account().bytes()));
    metrics.set_gauge("mulberry_idempotency_records", "Records of non-idempotent requests at this home.",
                      static_cast<double>(owner.guard().idempotency().size()));
    metrics.set_gauge("mulberry_upstream_crashes", "Crashes of this node's upstream since this node started.",
                      static_cast<double>(owner.guard().upstream_crashes()));
    metrics.set_gauge("mulberry_quarantined_requests", "Requests that are refused because they crash upstreams.",
                      static_cast<double>(owner.quarantine().quarantined()));
    for (const shares::organisation_status& share : owner.organisation_shares().status().organisations) {
        metrics.set_gauge("mulberry_share_rate", "Requests per second that this node may admit now.", share.held_rate,
                          "organisation", share.organisation);
    }
    for (const control_channel channel :
         {control_channel::membership, control_channel::configuration, control_channel::shares,
          control_channel::account, control_channel::quarantine}) {
        const control_traffic traffic = m_dependencies.control.traffic(channel);
        metrics.set_gauge("mulberry_control_bytes", "Payload bytes of control messages sent and received.",
                          static_cast<double>(traffic.sent_bytes + traffic.received_bytes), "channel",
                          std::string(to_string(channel)));
    }
}

} // namespace mulberry
