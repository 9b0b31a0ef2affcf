// Stand-in for the platform's metadata store, as PROTOCOL.md describes it: items, revisions, leases, watches and
// transactions. Each machine has a port of its own, so that the store can turn away single machines.
#pragma once

#include "http.h"

#include <condition_variable>
#include <map>

#include <nlohmann/json.hpp>

namespace standin {

using nlohmann::json;

enum class store_mode { serving, silent, unavailable };

inline std::string to_base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63U];
    }
    return text;
}

class store {
public:
    store() : m_expiry([this] { expire_leases(); }) {}
    store(const store&) = delete;
    store& operator=(const store&) = delete;
    ~store()
    {
        m_stopping = true;
        m_changed.notify_all();
        m_expiry.join();
        m_ports.clear();
    }

    /// Opens a port for one machine.
    std::uint16_t add_machine(const std::string& name)
    {
        auto mode = std::make_shared<std::atomic<store_mode>>(store_mode::serving);
        m_modes[name] = mode;
        m_ports[name] = std::make_unique<server>(
            [this, mode](connection& link, const request& message) { return answer(link, message, *mode); });
        return m_ports[name]->port();
    }

    void set_mode(const std::string& machine, store_mode mode) { *m_modes.at(machine) = mode; }

    /// The operator's write of the configuration. Returns the time of the acknowledgement.
    double put_configuration(const json& configuration)
    {
        const std::lock_guard lock(m_mutex);
        write("op/config", to_base64(configuration.dump()), 0);
        return now_s();
    }

    std::size_t count(const std::string& prefix)
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(
            std::ranges::count_if(m_items, [&](const auto& item) { return item.first.starts_with(prefix); }));
    }

private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct lease {
        int ttl_ms = 0;
        clock::time_point end;
    };

    static json to_json(const std::string& key, const item& each)
    {
        return {{"key", key},
                {"value", each.value},
                {"revision", each.revision},
                {"created", each.created},
                {"lease", each.lease}};
    }

    void write(const std::string& key, const std::string& value, std::int64_t lease_id)
    {
        const std::int64_t revision = ++m_revision;
        item& target = m_items[key];
        target.value = value;
        target.created = target.created == 0 ? revision : target.created;
        target.revision = revision;
        target.lease = lease_id;
        m_events.push_back({key, revision, to_json(key, target)});
        m_changed.notify_all();
    }

    void remove(const std::string& key)
    {
        if (m_items.erase(key) == 0)
            return;
        const std::int64_t revision = ++m_revision;
        m_events.push_back({key, revision, {{"key", key}, {"revision", revision}, {"removed", true}}});
        m_changed.notify_all();
    }

    void expire_leases()
    {
        while (!m_stopping) {
            sleep_ms(20);
            const std::lock_guard lock(m_mutex);
            for (auto it = m_leases.begin(); it != m_leases.end();) {
                if (it->second.end > clock::now()) {
                    ++it;
                    continue;
                }
                end_lease(it->first);
                it = m_leases.erase(it);
            }
        }
    }

    void end_lease(std::int64_t id)
    {
        std::vector<std::string> keys;
        for (const auto& [key, each] : m_items) {
            if (each.lease == id)
                keys.push_back(key);
        }
        for (const std::string& key : keys)
            remove(key);
    }

    static int milliseconds_of(const std::string& text)
    {
        const double number = std::atof(text.c_str());
        return static_cast<int>(text.ends_with("ms") ? number : number * 1000);
    }

    static std::map<std::string, std::string> query_of(const std::string& target)
    {
        std::map<std::string, std::string> result;
        std::size_t at = target.find('?');
        while (at != std::string::npos && at + 1 < target.size()) {
            const std::size_t end = std::min(target.find('&', at + 1), target.size());
            const std::string part = target.substr(at + 1, end - at - 1);
            const std::size_t equals = part.find('=');
            std::string value;
            for (std::size_t i = equals + 1; i < part.size(); ++i) {
                if (part[i] == '%') {
                    value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                }
                else {
                    value += part[i];
                }
            }
            result[part.substr(0, equals)] = value;
            at = end < target.size() ? end : std::string::npos;
        }
        return result;
    }

    bool answer(connection& link, const request& message, const std::atomic<store_mode>& mode)
    {
        if (mode == store_mode::unavailable)
            return link.write(to_wire(503, {}, ""));
        if (mode == store_mode::silent)
            return hold(link);
        sleep_ms(4);
        const auto [status, body] = handle(message, mode);
        // A connection on which an answer is lost returns nothing further.
        if (mode == store_mode::silent)
            return hold(link);
        return link.write(to_wire(status, {{"Content-Type", "application/json"}}, body.is_null() ? "" : body.dump()));
    }

    bool hold(const connection& link) const
    {
        while (!m_stopping && !link.is_closed_by_peer())
            sleep_ms(20);
        return false;
    }

    std::pair<int, json> handle(const request& message, const std::atomic<store_mode>& mode)
    {
        const std::string path = message.target.substr(0, message.target.find('?'));
        const auto query = query_of(message.target);
        const auto field = [&query](const char* name) {
            const auto found = query.find(name);
            return found == query.end() ? std::string() : found->second;
        };
        std::unique_lock lock(m_mutex);
        if (path == "/-/kv-key") {
            const auto found = m_items.find(field("key"));
            if (found == m_items.end())
                return {404, {{"store_revision", m_revision}}};
            json result = to_json(found->first, found->second);
            result["store_revision"] = m_revision;
            return {200, result};
        }
        if (path == "/-/kv-range") {
            json items = json::array();
            for (const auto& [key, each] : m_items) {
                if (key.starts_with(field("path_prefix")) && key > field("after"))
                    items.push_back(to_json(key, each));
            }
            return {200, {{"items", items}, {"truncated", false}, {"store_revision", m_revision}}};
        }
        if (path == "/-/kv-watch")
            return watch(lock, field("path_prefix"), std::atoll(field("after").c_str()),
                         std::atoi(field("wait_ms").c_str()), mode);
        if (path == "/-/kv-txn")
            return transact(json::parse(message.body));
        if (path == "/-/kv-lease") {
            const int ttl = std::max(milliseconds_of(json::parse(message.body).at("ttl_time")), 1000);
            const std::int64_t id = ++m_last_lease;
            m_leases[id] = {ttl, clock::now() + milliseconds(ttl)};
            return {200, {{"lease", id}, {"ttl_time", std::to_string(ttl) + "ms"}}};
        }
        if (path.starts_with("/-/kv-keep/")) {
            const auto found = m_leases.find(std::atoll(path.substr(11).c_str()));
            if (found == m_leases.end())
                return {404, {}};
            found->second.end = clock::now() + milliseconds(found->second.ttl_ms);
            return {200, {{"ttl_time", std::to_string(found->second.ttl_ms) + "ms"}}};
        }
        if (path.starts_with("/-/kv-lease-end/")) {
            const std::int64_t id = std::atoll(path.substr(16).c_str());
            end_lease(id);
            return {m_leases.erase(id) > 0 ? 200 : 404, {}};
        }
        return {404, {}};
    }

    std::pair<int, json> watch(std::unique_lock<std::mutex>& lock, const std::string& prefix, std::int64_t after,
                               int wait_ms, const std::atomic<store_mode>& mode)
    {
        const auto end = clock::now() + milliseconds(wait_ms);
        while (true) {
            json events = json::array();
            for (const event& each : m_events) {
                if (each.revision > after && each.key.starts_with(prefix))
                    events.push_back(each.body);
            }
            if (!events.empty() || clock::now() >= end || m_stopping || mode != store_mode::serving)
                return {200, {{"events", events}, {"store_revision", m_revision}}};
            m_changed.wait_until(lock, std::min(end, clock::now() + milliseconds(100)));
        }
    }

    std::pair<int, json> transact(const json& message)
    {
        json current = json::array();
        bool holds = true;
        for (const json& row : message.at("expected_rev")) {
            const auto found = m_items.find(row.at("key"));
            const std::int64_t revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == row.at("revision").get<std::int64_t>();
            if (found != m_items.end())
                current.push_back(to_json(found->first, found->second));
        }
        if (!holds)
            return {412, {{"items", current}}};
        for (const json& row : message.at("writes")) {
            if (row.value("lease", 0) != 0 && !m_leases.contains(row["lease"]))
                return {404, {}};
        }
        for (const json& row : message.at("writes"))
            write(row.at("key"), row.at("value"), row.value("lease", std::int64_t{0}));
        for (const json& key : message.at("deletes"))
            remove(key);
        return {200, {{"revision", m_revision}}};
    }

    struct event {
        std::string key;
        std::int64_t revision;
        json body;
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::map<std::int64_t, lease> m_leases;
    std::vector<event> m_events;
    std::int64_t m_revision = 100;
    std::int64_t m_last_lease = 7000;
    std::atomic<bool> m_stopping{false};
    std::map<std::string, std::shared_ptr<std::atomic<store_mode>>> m_modes;
    std::map<std::string, std::unique_ptr<server>> m_ports;
    std::thread m_expiry;
};

} // namespace standin
