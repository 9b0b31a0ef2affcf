#include "app/mulberryd/operatorjson.h"

#include "libs/base/asyncerror.h"
#include "libs/json/jsonfields.h"

#include <utility>

#include <fmt/format.h>

namespace mulberry {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_unprocessable = 422;
constexpr int status_unavailable = 503;
constexpr int status_bad_gateway = 502;

json member_json(const member& entry)
{
    return {{"name", entry.id.name},
            {"incarnation", entry.id.incarnation},
            {"service", entry.service},
            {"address", entry.address},
            {"failure_domain", entry.location.failure_domain},
            {"region", entry.location.region},
            {"state", to_string(entry.state)}};
}

json upstream_json(node& owner)
{
    const admission_queue& queue = owner.guard().admission();
    return {{"concurrency_limit", queue.concurrency_limit()},
            {"running", queue.running()},
            {"waiting", queue.waiting()},
            {"idempotency_records", owner.guard().idempotency().size()},
            {"idempotency_bytes", owner.guard().idempotency().bytes()}};
}

json statement_json(const domain_statement& statement)
{
    json result{{"domain", statement.domain},
                {"age_ms", to_milliseconds(statement.age)},
                {"known_revision", statement.known_revision},
                {"confirmed_revision", statement.confirmed_revision}};
    if (statement.store_reached_ago)
        result["store_reached_ago_ms"] = to_milliseconds(*statement.store_reached_ago);
    return result;
}

json configuration_json(node& owner)
{
    json result{{"revision", owner.view().newest_revision()},
                {"complete_revision", owner.view().complete_revision()},
                {"watcher", owner.relay().is_watcher()},
                {"keyed_requests_allowed", owner.relay().keyed_requests_allowed()}};
    if (const auto age = owner.relay().age())
        result["view_age_ms"] = to_milliseconds(*age);
    for (const domain_statement& statement : owner.relay().statements())
        result["domains"].push_back(statement_json(statement));
    for (const config_document* document : owner.view().documents())
        result["documents"].push_back({{"key", document->key}, {"revision", document->revision}});
    return result;
}

json shares_json(node& owner)
{
    json result = json::array();
    for (const shares::organisation_status& entry : owner.organisation_shares().status().organisations) {
        result.push_back({{"organisation", entry.organisation},
                          {"held_rate", entry.held_rate},
                          {"held_burst", entry.held_capacity},
                          {"tokens", entry.level},
                          {"demand", entry.demand},
                          {"admitted", entry.admitted},
                          {"refused", entry.refused}});
    }
    return result;
}

json coordinators_json(node& owner)
{
    json result = json::array();
    for (const shares::group_status& group : owner.organisation_shares().status().groups)
        result.push_back({{"keeper", group.keeper}, {"epoch", group.epoch}, {"store_calls", group.store_calls}});
    return result;
}

json record_json(const decision_record& record)
{
    json result{{"hop", record.hop},
                {"role", record.role == hop_role::entry ? "entry" : "guard"},
                {"node", record.node},
                {"peer", record.peer},
                {"fingerprint", fmt::format("{:016x}", record.fingerprint)},
                {"organisation", record.organisation},
                {"service", record.service},
                {"route", record.route},
                {"importance", to_string(record.level)},
                {"idempotent", record.idempotent},
                {"decision", record.reason ? to_string(*record.reason) : std::string_view("served")},
                {"attempts", record.attempts},
                {"configuration_revision", record.configuration_revision},
                {"status", record.status},
                {"outcome", to_string(record.result)},
                {"received_ms", record.received.time_since_epoch().count()},
                {"waited_us", record.waited.count()},
                {"took_us", record.took.count()}};
    if (!record.unknown.empty())
        result["unknown"] = record.unknown;
    return result;
}

int status_of(write_error error)
{
    switch (error) {
    case write_error::invalid:
    case write_error::bad_key:
    case write_error::too_large:
        return status_unprocessable;
    case write_error::unknown_outcome:
        return status_bad_gateway;
    case write_error::not_a_watcher:
    case write_error::store_unavailable:
        break;
    }
    return status_unavailable;
}

write_response response_of_result(const write_result& result)
{
    if (result.accepted)
        return {status_ok, {{"revision", result.revision}}};
    json body{{"error", "conflict"}, {"message", "The document has been changed in the meantime."}, {"revision", 0}};
    if (result.current) {
        body["revision"] = result.current->revision;
        body["content"] = result.current->content;
    }
    return {status_conflict, std::move(body)};
}

write_response response_of_failure(const write_failure& failure)
{
    return {status_of(failure.error),
            {{"error", to_string(failure.error)},
             {"message", failure.explanation},
             {"written", failure.error == write_error::unknown_outcome ? json() : json(false)}}};
}

} // namespace

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json status_json(node& owner)
{
    json result{
        {"node", member_json(owner.members().self())},      {"ready", owner.ready()},
        {"draining", owner.drain_control().draining()},     {"requests_in_progress", owner.entry().in_progress()},
        {"calls_in_progress", owner.guard().in_progress()}, {"upstream", upstream_json(owner)},
        {"configuration", configuration_json(owner)},       {"shares", shares_json(owner)},
        {"share_keepers", coordinators_json(owner)},        {"members", json::array()}};
    for (const member& entry : owner.members().members())
        result["members"].push_back(member_json(entry));
    return result;
}

json explanation_json(std::string_view request_id, const explanation& account)
{
    json result{{"request_id", request_id},
                {"records", json::array()},
                {"lost", json::array()},
                {"silent_nodes", account.silent_nodes}};
    for (const decision_record& record : account.records)
        result["records"].push_back(record_json(record));
    for (const lost_records& lost : account.lost) {
        result["lost"].push_back({{"node", lost.node},
                                  {"from_ms", lost.from.time_since_epoch().count()},
                                  {"until_ms", lost.until.time_since_epoch().count()},
                                  {"records", lost.records},
                                  {"refusals_lost", lost.protected_lost}});
    }
    return result;
}

json document_json(const config_document& document)
{
    return {{"key", document.key}, {"revision", document.revision}, {"content", document.content}};
}

std::string encode_write_request(const write_request& write)
{
    json result{{"key", write.key}, {"expected_revision", write.expected_revision}};
    if (write.content)
        result["content"] = *write.content;
    return dump(result);
}

std::optional<write_request> decode_write_request(std::string_view text)
{
    const json value = parse_json(text);
    if (!value.is_object() || !value.contains("key") || !value["key"].is_string() ||
        !value.contains("expected_revision") || !value["expected_revision"].is_number_integer())
        return std::nullopt;
    write_request write;
    write.key = value["key"].get<std::string>();
    write.expected_revision = value["expected_revision"].get<std::int64_t>();
    if (!value.contains("content"))
        return write;
    if (!value["content"].is_string())
        return std::nullopt;
    write.content = value["content"].get<std::string>();
    return write;
}

write_response make_write_response(leaf::result<write_result> result)
{
    if (result)
        return response_of_result(*result);
    return response_of_failure(error_of<write_failure, void>(std::move(result).error(), write_failure{}));
}

std::string encode_write_response(const write_response& response)
{
    return dump({{"status", response.status}, {"body", response.body}});
}

std::optional<write_response> decode_write_response(std::string_view text)
{
    const json value = parse_json(text);
    if (!value.is_object() || !value.contains("status") || !value["status"].is_number_integer() ||
        !value.contains("body"))
        return std::nullopt;
    return write_response{value["status"].get<int>(), value["body"]};
}

} // namespace mulberry
