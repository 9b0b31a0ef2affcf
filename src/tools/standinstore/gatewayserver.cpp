#include "tools/standinstore/gatewayserver.h"

#include "libs/base/asyncerror.h"
#include "libs/documents/units.h"
#include "libs/store/gatewaycodec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mulberry {

namespace {

using nlohmann::json;

/// Period at which due timers run, and so the maximum delay until an expired lease is removed.
constexpr std::chrono::milliseconds timer_period{20};

standin_response error_response(int status, gateway::status_code code, const std::string& message)
{
    const auto number = static_cast<int>(code);
    return json_response(status, json{{"error", message}, {"code", number}, {"message", message}}.dump());
}

standin_response unimplemented(const std::string& what)
{
    return error_response(501, gateway::status_code::unimplemented, what + " is not part of the stand-in");
}

standin_response error_response(store_error error)
{
    if (error == store_error::no_such_lease)
        return error_response(404, gateway::status_code::not_found, "etcdserver: requested lease not found");
    return error_response(400, gateway::status_code::invalid_argument, "etcdserver: request is too large");
}

/// Decodes a base64 member. Throws std::invalid_argument, which results in an "invalid argument" response.
std::string bytes_of(const json& object, const char* name)
{
    const auto bytes = gateway::from_base64(object.value(name, ""));
    if (!bytes)
        throw std::invalid_argument(fmt::format("{} is not base64", name));
    return *bytes;
}

/// Reads an integer member, which the gateway's JSON writes as a string or as a number; 0 if it is missing.
std::int64_t number_of(const json& object, const char* name)
{
    const auto member = object.find(name);
    if (member == object.end())
        return 0;
    return member->is_string() ? std::stoll(member->get<std::string>()) : member->get<std::int64_t>();
}

json entry_json(const store_entry& entry)
{
    return {{"key", gateway::to_base64(entry.key)},
            {"value", gateway::to_base64(entry.value)},
            {"mod_revision", std::to_string(entry.mod_revision)}};
}

json entries_json(const std::vector<store_entry>& entries)
{
    json list = json::array();
    for (const store_entry& entry : entries)
        list.push_back(entry_json(entry));
    return list;
}

/// Adds a list of entries and its length. An empty list is omitted, as etcd's gateway does.
void add_entries(json& object, const std::vector<store_entry>& entries)
{
    if (entries.empty())
        return;
    object["kvs"] = entries_json(entries);
    object["count"] = std::to_string(entries.size());
}

json event_json(const watch_event& event)
{
    if (!event.deleted)
        return {{"kv", entry_json(event.entry)}};
    return {
        {"type", "DELETE"},
        {"kv",
         {{"key", gateway::to_base64(event.entry.key)}, {"mod_revision", std::to_string(event.entry.mod_revision)}}}};
}

/// Returns the prefix that all keys of the range share. Throws std::invalid_argument if the range is not that of a
/// prefix.
std::string prefix_of(const std::string& key, const std::string& range_end)
{
    std::string prefix = key == std::string(1, '\0') ? std::string() : key;
    if (gateway::prefix_end(prefix) != range_end)
        throw std::invalid_argument("only ranges of a prefix are part of the stand-in");
    return prefix;
}

} // namespace

gateway_server::gateway_server()
    : m_server([this](const standin_request& request) { return handle(request); }),
      m_timer_thread([this] { run_timers(); })
{
}

gateway_server::~gateway_server()
{
    stop();
}

void gateway_server::stop()
{
    m_server.stop();
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    if (m_timer_thread.joinable())
        m_timer_thread.join();
}

void gateway_server::run_timers()
{
    while (true) {
        std::this_thread::sleep_for(timer_period);
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return;
        m_timers.run_due();
    }
}

/// The store reports results through its timers, so running these yields the result at once.
template <typename Result>
leaf::result<Result> gateway_server::call_store(std::function<void(std::function<void(leaf::result<Result>)>)> call)
{
    std::optional<leaf::result<Result>> response;
    call([&](leaf::result<Result> result) { response = std::move(result); });
    m_timers.run_due();
    return std::move(*response);
}

json gateway_server::header() const
{
    return {
        {"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(m_store.revision())}, {"raft_term", "1"}};
}

standin_response gateway_server::handle(const standin_request& request)
{
    try {
        if (request.path.starts_with("/standin/"))
            return handle_control_path(request);
        return handle_store_call(request);
    }
    catch (const std::exception& error) {
        return error_response(400, gateway::status_code::invalid_argument, error.what());
    }
}

standin_response gateway_server::handle_store_call(const standin_request& request)
{
    duration delay{0};
    {
        const std::lock_guard lock(m_mutex);
        delay = m_faults.delay;
    }
    std::this_thread::sleep_for(delay);
    const std::lock_guard lock(m_mutex);
    if (m_faults.down) {
        standin_response dropped;
        dropped.drop_connection = true;
        return dropped;
    }
    if (m_faults.unavailable)
        return error_response(503, gateway::status_code::unavailable, "etcdserver: no leader");
    m_timers.run_due();
    const json body = json::parse(request.body);
    standin_response response = dispatch(request.path, body);
    if (m_faults.garbage && !response.stream)
        response.body = "<html>garbage</html>";
    return response;
}

standin_response gateway_server::dispatch(std::string_view path, const json& body)
{
    if (path == gateway::range_path)
        return range(body);
    if (path == gateway::txn_path)
        return txn(body);
    if (path == gateway::grant_path)
        return grant(body);
    if (path == gateway::keep_alive_path)
        return keep_alive(body);
    if (path == gateway::watch_path)
        return open_watch(body);
    return error_response(404, gateway::status_code::not_found, "Not Found");
}

standin_response gateway_server::range(const json& request)
{
    ++m_counters.reads;
    const std::string key = bytes_of(request, "key");
    const std::string range_end = bytes_of(request, "range_end");
    const auto result = call_store<range_result>([&](auto done) {
        if (range_end.empty())
            return m_store.get(key, std::move(done));
        m_store.range(prefix_of(key, range_end), std::move(done));
    });
    json response{{"header", header()}};
    add_entries(response, result->entries);
    return json_response(200, response.dump());
}

standin_response gateway_server::txn(const json& request)
{
    ++m_counters.writes;
    const json& compare = request.at("compare").at(0);
    const json& success = request.at("success").at(0);
    const std::string key = bytes_of(compare, "key");
    const bool supported = request.at("compare").size() == 1 && request.at("success").size() == 1 &&
                           compare.value("target", "") == "MOD" && compare.value("result", "EQUAL") == "EQUAL";
    if (!supported)
        return unimplemented("The transaction");
    const std::int64_t expected = number_of(compare, "mod_revision");
    const bool is_put = success.contains("request_put");
    const json& operation = success.at(is_put ? "request_put" : "request_delete_range");
    if (bytes_of(operation, "key") != key)
        return unimplemented("A transaction over two keys");
    auto result = call_store<put_result>([&](auto done) {
        if (!is_put)
            return m_store.remove_if(key, expected, std::move(done));
        m_store.put_if(key, expected, bytes_of(operation, "value"), number_of(operation, "lease"), std::move(done));
    });
    if (!result)
        return error_response(error_of(std::move(result), store_error::too_large));
    json response{{"header", header()}};
    if (result->applied) {
        response["succeeded"] = true;
        const json written{{is_put ? "response_put" : "response_delete_range", {{"header", header()}}}};
        response["responses"] = json::array({written});
        return finish_write(json_response(200, response.dump()));
    }
    json current{{"header", header()}};
    if (result->current)
        add_entries(current, {*result->current});
    response["responses"] = json::array({json{{"response_range", current}}});
    return json_response(200, response.dump());
}

standin_response gateway_server::finish_write(standin_response response)
{
    if (m_faults.lose_answers == 0)
        return response;
    --m_faults.lose_answers;
    ++m_counters.lost_answers;
    response.drop_connection = true;
    return response;
}

standin_response gateway_server::grant(const json& request)
{
    ++m_counters.lease_calls;
    const std::int64_t seconds = number_of(request, "TTL");
    if (seconds <= 0)
        return error_response(400, gateway::status_code::invalid_argument, "etcdserver: TTL must be positive");
    const auto lease =
        call_store<lease_id>([&](auto done) { m_store.grant_lease(std::chrono::seconds(seconds), std::move(done)); });
    m_lease_seconds[*lease] = seconds;
    return finish_write(json_response(
        200, json{{"header", header()}, {"ID", std::to_string(*lease)}, {"TTL", std::to_string(seconds)}}.dump()));
}

standin_response gateway_server::keep_alive(const json& request)
{
    ++m_counters.lease_calls;
    const lease_id lease = number_of(request, "ID");
    const auto renewed = call_store<void>([&](auto done) { m_store.keep_alive(lease, std::move(done)); });
    json result{{"header", header()}, {"ID", std::to_string(lease)}};
    if (renewed)
        result["TTL"] = std::to_string(m_lease_seconds[lease]);
    return json_response(200, json{{"result", result}}.dump() + "\n");
}

standin_response gateway_server::open_watch(const json& request)
{
    ++m_counters.watches;
    const json& create = request.at("create_request");
    const std::string prefix = prefix_of(bytes_of(create, "key"), bytes_of(create, "range_end"));
    std::int64_t from_revision = number_of(create, "start_revision");
    if (from_revision == 0)
        from_revision = m_store.revision() + 1;
    auto queue = std::make_shared<watch_queue>();
    queue->push(json{{"result", {{"header", header()}, {"created", true}}}}.dump() + "\n");
    const watch_id id = m_store.watch(prefix, from_revision, [this, queue](auto events) {
        json list = json::array();
        for (const watch_event& event : *events)
            list.push_back(event_json(event));
        queue->push(json{{"result", {{"header", header()}, {"events", list}}}}.dump() + "\n");
    });
    m_timers.run_due();
    m_queues[id] = queue;
    standin_response response = json_response(200, "");
    response.stream = std::make_shared<watch_stream>(queue, [this, id] {
        const std::lock_guard lock(m_mutex);
        m_store.cancel_watch(id);
        m_queues.erase(id);
    });
    return response;
}

standin_response gateway_server::handle_control_path(const standin_request& request)
{
    if (request.path == "/standin/stats")
        return stats();
    const json members = json::parse(request.body);
    if (request.path == "/standin/faults")
        return set_faults(members);
    if (request.path == "/standin/lapse")
        return expire_leases(members);
    return error_response(404, gateway::status_code::not_found, "Not Found");
}

standin_response gateway_server::set_faults(const json& members)
{
    const std::lock_guard lock(m_mutex);
    gateway_faults changed = m_faults;
    const std::map<std::string, std::function<void(const json&)>> setters{
        {"down", [&](const json& value) { changed.down = value.get<bool>(); }},
        {"unavailable", [&](const json& value) { changed.unavailable = value.get<bool>(); }},
        {"garbage", [&](const json& value) { changed.garbage = value.get<bool>(); }},
        {"delay", [&](const json& value) { changed.delay = parse_duration(value.get<std::string>()).value(); }},
        {"lose_answers", [&](const json& value) { changed.lose_answers = value.get<std::uint32_t>(); }},
    };
    for (const auto& [name, value] : members.items())
        setters.at(name)(value);
    m_faults = changed;
    if (m_faults.down) {
        for (const auto& [id, queue] : m_queues) {
            if (const auto open_queue = queue.lock())
                open_queue->close();
        }
    }
    return json_response(200, "{}");
}

standin_response gateway_server::expire_leases(const json& members)
{
    const std::lock_guard lock(m_mutex);
    const lease_id lease = number_of(members, "ID");
    for (const auto& [id, seconds] : m_lease_seconds) {
        if (lease == 0 || lease == id)
            m_store.expire_lease(id);
    }
    m_timers.run_due();
    return json_response(200, "{}");
}

standin_response gateway_server::stats()
{
    const std::lock_guard lock(m_mutex);
    return json_response(200, json{{"reads", m_counters.reads},
                                   {"writes", m_counters.writes},
                                   {"lease_calls", m_counters.lease_calls},
                                   {"watches", m_counters.watches},
                                   {"open_watches", m_queues.size()},
                                   {"lost_answers", m_counters.lost_answers},
                                   {"revision", m_store.revision()}}
                                  .dump());
}

} // namespace mulberry
