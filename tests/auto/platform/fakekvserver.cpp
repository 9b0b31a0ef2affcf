#include "auto/platform/fakekvserver.h"

#include "libs/base/asyncerror.h"

#include <utility>

#include <fmt/format.h>
#include <sodium.h>

namespace mulberry::platform {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr duration latency = 4ms;
constexpr duration lease_time = 6s;

std::string to_base64(const std::string& bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    text.resize(text.size() - 1);
    return text;
}

std::string from_base64(const std::string& text)
{
    std::string bytes(text.size(), '\0');
    std::size_t length = 0;
    sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(), text.size(), nullptr,
                      &length, nullptr, sodium_base64_VARIANT_ORIGINAL);
    bytes.resize(length);
    return bytes;
}

} // namespace

fake_kv_server::query fake_kv_server::parse(const std::string& url)
{
    const std::string target = url.substr(url.find("/-/"));
    query result;
    result.path = target.substr(0, target.find('?'));
    std::size_t begin = result.path.size() + 1;
    while (begin < target.size()) {
        const std::size_t end = std::min(target.find('&', begin), target.size());
        const std::string field = target.substr(begin, end - begin);
        result.fields[field.substr(0, field.find('='))] = field.substr(field.find('=') + 1);
        begin = end + 1;
    }
    return result;
}

http_call_id fake_kv_server::send(http_request request, http_callback done)
{
    const http_call_id id = ++m_last_id;
    const duration timeout = request.timeout;
    m_calls[id] = {std::move(request), std::move(done), time_point::max()};
    m_timers.schedule(latency, [this, id] { handle(id); });
    m_timers.schedule(timeout, [this, id] {
        auto call = m_calls.extract(id);
        if (!call.empty())
            call.mapped().done(captured_error<http_response>(http_error::timed_out));
    });
    return id;
}

void fake_kv_server::cancel(http_call_id id)
{
    m_calls.erase(id);
}

void fake_kv_server::respond(http_call_id id, int status, const json& body)
{
    auto call = m_calls.extract(id);
    if (call.empty())
        return;
    http_response response{status, {{"Store-Era", fmt::to_string(m_generation)}}, body.dump()};
    m_timers.schedule(latency, [done = std::move(call.mapped().done), response] { done(response); });
}

void fake_kv_server::handle(http_call_id id)
{
    const auto call = m_calls.find(id);
    if (call == m_calls.end())
        return;
    if (m_timers.now() < m_away_until) {
        auto lost = m_calls.extract(id);
        return lost.mapped().done(captured_error<http_response>(http_error::not_sent));
    }
    end_leases();
    const query target = parse(call->second.request.url);
    if (target.path == "/-/kv-watch")
        return handle_watch(id, target);
    if (target.path == "/-/kv-txn")
        return handle_transaction(id);
    if (target.path == "/-/kv-lease") {
        m_state.lease_ends[++m_state.last_lease] = m_timers.now() + lease_time;
        return respond(id, 200, {{"lease", m_state.last_lease}, {"ttl_time", "6s"}});
    }
    if (target.path.starts_with("/-/kv-keep/")) {
        const auto lease = m_state.lease_ends.find(std::stoll(target.path.substr(11)));
        if (lease == m_state.lease_ends.end())
            return respond(id, 404, json::object());
        lease->second = m_timers.now() + lease_time;
        return respond(id, 200, {{"ttl_time", "6s"}});
    }
    const std::string prefix = target.fields.find("path_prefix")->second;
    json items = json::array();
    for (const auto& [key, stored] : m_state.items) {
        if (key.starts_with(prefix))
            items.push_back(item_json(key));
    }
    respond(id, 200, {{"items", items}, {"truncated", false}, {"store_revision", m_state.revision}});
}

void fake_kv_server::handle_watch(http_call_id id, const query& target)
{
    const std::int64_t after = std::stoll(target.fields.find("after")->second);
    if (after > m_state.revision)
        return respond(id, 410, json::object());
    const std::string prefix = target.fields.find("path_prefix")->second;
    json events = json::array();
    for (const change& each : m_state.history) {
        if (each.revision <= after || !each.key.starts_with(prefix))
            continue;
        if (each.removed) {
            events.push_back({{"key", each.key}, {"revision", each.revision}, {"removed", true}});
        }
        else if (m_state.items.contains(each.key)) {
            events.push_back(item_json(each.key));
        }
    }
    waiting_poll& poll = m_calls.find(id)->second;
    if (poll.end == time_point::max())
        poll.end = m_timers.now() + std::chrono::milliseconds(std::stoll(target.fields.find("wait_ms")->second));
    if (!events.empty() || m_timers.now() >= poll.end)
        return respond(id, 200, {{"events", events}, {"store_revision", m_state.revision}});
    m_timers.schedule(poll.end - m_timers.now(), [this, id] { handle(id); });
}

void fake_kv_server::handle_transaction(http_call_id id)
{
    const json body = json::parse(m_calls.find(id)->second.request.body);
    for (const json& row : body["expected_rev"]) {
        const std::string key = row["key"];
        const auto stored = m_state.items.find(key);
        const std::int64_t revision = stored == m_state.items.end() ? 0 : stored->second.revision;
        if (revision == row["revision"])
            continue;
        json items = json::array();
        if (revision != 0)
            items.push_back(item_json(key));
        return respond(id, 412, {{"items", items}});
    }
    for (const json& written : body["writes"]) {
        const std::int64_t lease = written["lease"];
        if (lease != 0 && !m_state.lease_ends.contains(lease))
            return respond(id, 404, json::object());
        const item value{from_base64(written["value"]), 0, lease};
        change_item(written["key"], &value);
    }
    respond(id, 200, {{"revision", m_state.revision}});
    answer_polls();
}

void fake_kv_server::change_item(const std::string& key, const item* written)
{
    ++m_state.revision;
    m_state.history.push_back({key, m_state.revision, written == nullptr});
    if (written == nullptr) {
        m_state.items.erase(key);
        return;
    }
    item& stored = m_state.items[key];
    stored = *written;
    stored.revision = m_state.revision;
}

void fake_kv_server::write(const std::string& key, const std::string& value)
{
    const item written{value, 0, 0};
    change_item(key, &written);
    answer_polls();
}

std::string fake_kv_server::value_of(const std::string& key) const
{
    const auto stored = m_state.items.find(key);
    return stored == m_state.items.end() ? std::string() : stored->second.value;
}

void fake_kv_server::answer_polls()
{
    std::vector<http_call_id> waiting;
    for (const auto& [id, call] : m_calls) {
        if (call.end != time_point::max())
            waiting.push_back(id);
    }
    for (const http_call_id id : waiting)
        handle(id);
}

void fake_kv_server::end_leases()
{
    std::vector<std::int64_t> ended;
    for (const auto& [lease, end] : m_state.lease_ends) {
        if (end <= m_timers.now())
            ended.push_back(lease);
    }
    for (const std::int64_t lease : ended) {
        m_state.lease_ends.erase(lease);
        std::vector<std::string> keys;
        for (const auto& [key, stored] : m_state.items) {
            if (stored.lease == lease)
                keys.push_back(key);
        }
        for (const std::string& key : keys)
            change_item(key, nullptr);
    }
}

void fake_kv_server::restore_copy(duration away)
{
    m_away_until = m_timers.now() + away;
    m_state = m_copy;
    ++m_generation;
    for (auto& [lease, end] : m_state.lease_ends)
        end = m_away_until + lease_time;
    for (auto& [id, call] : std::exchange(m_calls, {}))
        call.done(captured_error<http_response>(http_error::connection_lost));
    m_timers.advance(away);
}

json fake_kv_server::item_json(const std::string& key) const
{
    const item& stored = m_state.items.find(key)->second;
    return {{"key", key},
            {"value", to_base64(stored.value)},
            {"revision", stored.revision},
            {"created", stored.revision},
            {"lease", stored.lease}};
}

} // namespace mulberry::platform
