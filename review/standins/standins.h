#pragma once

// Stand-ins for the scripts of the review: the platform's store, targets with heartbeats, clients and the control of
// the project's processes. They follow the users' pages; where those are silent they behave like a sound server, client
// or platform. Only loopback addresses are used.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;

inline const clock_type::time_point start_time = clock_type::now();

inline double now_s()
{
    return std::chrono::duration<double>(clock_type::now() - start_time).count();
}

inline void sleep_s(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void sleep_until_s(double time)
{
    sleep_s(time - now_s());
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// ---------------------------------------------------------------------------------------------------------- record

/// What was sent, answered and run, with seconds since the start.
class record_file {
public:
    void open(const std::string& path) { m_file = std::fopen(path.c_str(), "w"); }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        const std::lock_guard lock(m_mutex);
        if (m_file == nullptr)
            return;
        std::fprintf(m_file, "%8.3f ", now_s());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file = nullptr;
};

inline record_file record;

[[noreturn]] inline void cannot_run(const std::string& reason)
{
    record.line("cannot run: %s", reason.c_str());
    std::fprintf(stderr, "cannot run: %s\n", reason.c_str());
    std::exit(2);
}

// --------------------------------------------------------------------------------------------------------- sockets

struct endpoint {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in address_of(const endpoint& at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
    return address;
}

/// A free port of a loopback address, outside the range from which the kernel takes ports of outgoing connections.
inline endpoint free_endpoint(const std::string& ip)
{
    static int next = 12000 + static_cast<int>(getpid() % 9000);
    for (int tries = 0; tries < 20000; ++tries) {
        const int port = next;
        next = next >= 31000 ? 12000 : next + 1;
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = address_of({ip, port});
        const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        close(fd);
        if (is_free)
            return {ip, port};
    }
    cannot_run("no free port");
}

inline int listen_on(const endpoint& at, int backlog)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = address_of(at);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, backlog) != 0)
        cannot_run("cannot listen on " + at.text());
    return fd;
}

inline int connect_to(const endpoint& to, double timeout_s)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int flags = fcntl(fd, F_GETFL);
    fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    const sockaddr_in address = address_of(to);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        if (errno != EINPROGRESS) {
            close(fd);
            return -1;
        }
        pollfd ready{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (poll(&ready, 1, static_cast<int>(timeout_s * 1000)) != 1 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, flags);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool write_all(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// ------------------------------------------------------------------------------------------------------------ HTTP

struct message {
    std::string first_line;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;

    std::string field(const std::string& name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
    std::string word(int index) const
    {
        std::istringstream words(first_line);
        std::string word;
        for (int i = 0; i <= index; ++i)
            words >> word;
        return word;
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

/// Reads HTTP/1.1 messages with a length (or none) from a connection.
class message_reader {
public:
    explicit message_reader(int fd) : m_fd(fd) {}

    /// Reads one message; empty at the end of the connection, after the timeout, or if it is cut.
    std::optional<message> read(double timeout_s, bool is_response = false)
    {
        const double end = now_s() + timeout_s;
        std::size_t head_end = std::string::npos;
        while ((head_end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(end))
                return std::nullopt;
        }
        message result;
        std::istringstream lines(m_buffer.substr(0, head_end));
        m_buffer.erase(0, head_end + 4);
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            if (result.first_line.empty()) {
                result.first_line = line;
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = line.substr(0, colon);
            std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
            const std::size_t begin = line.find_first_not_of(' ', colon + 1);
            result.fields[name] = begin == std::string::npos ? "" : line.substr(begin);
        }
        const std::string length = result.field("content-length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        if (is_response && length.empty() && result.status() != 204 && result.status() != 304) {
            while (fill(end)) {
            }
            result.body = std::exchange(m_buffer, {});
            return result;
        }
        while (m_buffer.size() < size) {
            if (!fill(end))
                return std::nullopt;
        }
        result.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return result;
    }

    bool timed_out() const { return m_timed_out; }

private:
    bool fill(double end)
    {
        pollfd ready{m_fd, POLLIN, 0};
        const double left = std::max(end - now_s(), 0.0);
        if (poll(&ready, 1, static_cast<int>(left * 1000)) != 1) {
            m_timed_out = true;
            return false;
        }
        char bytes[16384];
        const ssize_t count = recv(m_fd, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int m_fd;
    std::string m_buffer;
    bool m_timed_out = false;
};

inline std::string response_text(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

struct reply {
    int status = 0; // 0: no complete answer
    message content;
    double at = 0;
};

/// Sends one request on a new connection.
inline reply exchange(const endpoint& to, const std::string& request, double timeout_s)
{
    reply result;
    const double end = now_s() + timeout_s;
    const int fd = connect_to(to, std::min(timeout_s, 1.0));
    if (fd >= 0 && write_all(fd, request)) {
        if (auto answer = message_reader(fd).read(end - now_s(), true)) {
            result.content = std::move(*answer);
            result.status = result.content.status();
        }
    }
    if (fd >= 0)
        close(fd);
    result.at = now_s();
    return result;
}

// ----------------------------------------------------------------------------------------------------------- store

inline std::string to_base64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63U] : '=';
    }
    return text;
}

/// The platform's store: items, watches, transactions and leases. It can listen at several addresses, so that it can
/// be out of reach for single machines.
class store {
public:
    ~store() { stop(); }

    endpoint listen_at(const std::string& ip)
    {
        const endpoint at = free_endpoint(ip);
        const int fd = listen_on(at, 256);
        {
            const std::lock_guard lock(m_mutex);
            m_reachable[at.port] = true;
        }
        std::thread([this, fd, port = at.port] { accept_connections(fd, port); }).detach();
        return at;
    }

    /// Cuts an address off, or ends that. A cut resets the connections, and further ones at once; what is sent on them
    /// has no effect.
    void set_reachable(int port, bool reachable)
    {
        const std::lock_guard lock(m_mutex);
        m_reachable[port] = reachable;
        if (reachable)
            return;
        for (const auto& [fd, at] : m_connections) {
            if (at == port)
                reset(fd);
        }
        m_changed.notify_all();
    }

    /// Writes a key as the operator does. Returns once it is acknowledged.
    void write(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        put(key, to_base64(value), 0);
    }

    void stop() { m_stopping = true; }

private:
    struct item {
        std::string value; // base64
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct event {
        std::string key;
        std::int64_t revision = 0;
        bool removed = false;
        item written;
    };
    struct lease_state {
        double ends = 0;
        double ttl = 0;
    };

    void put(const std::string& key, const std::string& value, std::int64_t lease)
    {
        ++m_revision;
        item& stored = m_items[key];
        if (stored.created == 0)
            stored.created = m_revision;
        stored.value = value;
        stored.revision = m_revision;
        stored.lease = lease;
        m_events.push_back({key, m_revision, false, stored});
        m_changed.notify_all();
    }

    void remove(const std::string& key)
    {
        if (m_items.erase(key) == 0)
            return;
        m_events.push_back({key, ++m_revision, true, {}});
        m_changed.notify_all();
    }

    void end_leases()
    {
        for (auto it = m_leases.begin(); it != m_leases.end();) {
            if (it->second.ends > now_s()) {
                ++it;
                continue;
            }
            std::vector<std::string> keys;
            for (const auto& [key, stored] : m_items) {
                if (stored.lease == it->first)
                    keys.push_back(key);
            }
            for (const std::string& key : keys)
                remove(key);
            it = m_leases.erase(it);
        }
    }

    static json item_json(const std::string& key, const item& stored)
    {
        return {{"key", key},
                {"value", stored.value},
                {"revision", stored.revision},
                {"created", stored.created},
                {"lease", stored.lease}};
    }

    void accept_connections(int listener, int port)
    {
        while (!m_stopping) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            std::thread([this, fd, port] { serve(fd, port); }).detach();
        }
    }

    static void reset(int fd)
    {
        const linger at_once{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        shutdown(fd, SHUT_RDWR);
    }

    void serve(int fd, int port)
    {
        std::unique_lock lock(m_mutex);
        m_connections[fd] = port;
        message_reader reader(fd);
        while (m_reachable[port]) {
            lock.unlock();
            const auto request = reader.read(3600);
            lock.lock();
            if (!request || !m_reachable[port])
                break;
            end_leases();
            const auto [status, body] = handle(*request, lock);
            const std::string text = response_text(status, "Content-Type: application/json\r\n", body.dump());
            lock.unlock();
            sleep_s(0.004);
            lock.lock();
            if (!m_reachable[port] || !write_all(fd, text))
                break;
        }
        m_connections.erase(fd);
        reset(fd);
        close(fd);
    }

    static std::string decoded(const std::string& text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
                continue;
            }
            out += text[i];
        }
        return out;
    }

    std::pair<int, json> handle(const message& request, std::unique_lock<std::mutex>& lock)
    {
        const std::string target = request.word(1);
        const std::string path = target.substr(0, target.find('?'));
        std::map<std::string, std::string> query;
        std::istringstream parts(target.size() > path.size() ? target.substr(path.size() + 1) : "");
        for (std::string part; std::getline(parts, part, '&');)
            query[part.substr(0, part.find('='))] = decoded(part.substr(part.find('=') + 1));
        if (path == "/-/kv-key") {
            const auto found = m_items.find(query["key"]);
            if (found == m_items.end())
                return {404, {{"store_revision", m_revision}}};
            json body = item_json(found->first, found->second);
            body["store_revision"] = m_revision;
            return {200, body};
        }
        if (path == "/-/kv-range") {
            json items = json::array();
            for (const auto& [key, stored] : m_items) {
                if (key.starts_with(query["path_prefix"]) && key > query["after"])
                    items.push_back(item_json(key, stored));
            }
            return {200, {{"items", items}, {"truncated", false}, {"store_revision", m_revision}}};
        }
        if (path == "/-/kv-watch")
            return watch(query["path_prefix"], std::stoll(query["after"]), std::stod(query["wait_ms"]) / 1000, lock);
        if (path == "/-/kv-txn")
            return transaction(json::parse(request.body));
        if (path == "/-/kv-lease") {
            const std::string ttl = json::parse(request.body).value("ttl_time", "6000ms");
            const double seconds = ttl.ends_with("ms") ? std::stod(ttl) / 1000 : std::stod(ttl);
            m_leases[++m_last_lease] = {now_s() + seconds, seconds};
            return {200, {{"lease", m_last_lease}, {"ttl_time", ttl}}};
        }
        if (path.starts_with("/-/kv-keep/")) {
            const auto lease = m_leases.find(std::stoll(path.substr(11)));
            if (lease == m_leases.end())
                return {404, json::object()};
            lease->second.ends = now_s() + lease->second.ttl;
            return {200, {{"ttl_time", std::to_string(static_cast<int>(lease->second.ttl * 1000)) + "ms"}}};
        }
        return {404, json::object()};
    }

    std::pair<int, json> watch(const std::string& prefix, std::int64_t after, double wait_s,
                               std::unique_lock<std::mutex>& lock)
    {
        const double end = now_s() + wait_s;
        for (;;) {
            end_leases();
            json events = json::array();
            for (const event& each : m_events) {
                if (each.revision <= after || !each.key.starts_with(prefix))
                    continue;
                if (each.removed) {
                    events.push_back({{"key", each.key}, {"revision", each.revision}, {"removed", true}});
                }
                else {
                    events.push_back(item_json(each.key, each.written));
                }
            }
            if (!events.empty() || now_s() >= end)
                return {200, {{"events", events}, {"store_revision", m_revision}}};
            m_changed.wait_for(lock, std::chrono::duration<double>(std::min(end - now_s(), 0.1)));
        }
    }

    std::pair<int, json> transaction(const json& body)
    {
        bool holds = true;
        json current = json::array();
        for (const json& row : body.value("expected_rev", json::array())) {
            const std::string key = row["key"];
            const auto found = m_items.find(key);
            const std::int64_t revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == row["revision"].get<std::int64_t>();
            if (found != m_items.end())
                current.push_back(item_json(key, found->second));
        }
        if (!holds)
            return {412, {{"items", current}}};
        for (const json& row : body.value("writes", json::array())) {
            const std::int64_t lease = row.value("lease", std::int64_t{0});
            if (lease != 0 && !m_leases.contains(lease))
                return {404, json::object()};
        }
        for (const json& row : body.value("writes", json::array()))
            put(row["key"], row["value"], row.value("lease", std::int64_t{0}));
        for (const json& key : body.value("deletes", json::array()))
            remove(key);
        return {200, {{"revision", m_revision}}};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<int, bool> m_reachable;
    std::map<int, int> m_connections; // descriptor and port
    std::map<std::string, item> m_items;
    std::vector<event> m_events;
    std::map<std::int64_t, lease_state> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_last_lease = 100;
    std::atomic<bool> m_stopping = false;
};

// ---------------------------------------------------------------------------------------------------------- target

/// One run of a request at a target.
struct run_entry {
    std::string request_id;
    std::string instance;
    std::string service;
    std::string method;
    std::string path;
    std::string caller_service;
    std::string tenant;
    double at = 0;
};

/// All runs, over all targets.
class run_log {
public:
    void add(run_entry entry)
    {
        record.line("run      id=%s target=%s service=%s method=%s path=%s caller_service=%s tenant=%s",
                    entry.request_id.c_str(), entry.instance.c_str(), entry.service.c_str(), entry.method.c_str(),
                    entry.path.c_str(), entry.caller_service.c_str(), entry.tenant.c_str());
        const std::lock_guard lock(m_mutex);
        m_entries.push_back(std::move(entry));
    }
    std::vector<run_entry> entries() const
    {
        const std::lock_guard lock(m_mutex);
        return m_entries;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<run_entry> m_entries;
};

inline run_log runs;

struct target_settings {
    std::string instance;
    std::string service;
    std::string zone;
    endpoint address;
    endpoint control;
    int slots = 140;
    double work_s = 0.1;
    /// Time that the target takes for each new connection.
    double accept_s = 0.001;
    /// Length of the queue of new connections.
    int backlog = 50;
    double heartbeat_s = 1.5;
};

/// A target: serves one request at a time on each connection, has slots, and sends heartbeats.
class target {
public:
    explicit target(target_settings settings) : m_settings(std::move(settings)), m_born(unix_ms()) {}
    ~target() { stop(); }

    void start()
    {
        m_listener = listen_on(m_settings.address, m_settings.backlog);
        m_threads.emplace_back([this] { accept_connections(); });
        m_threads.emplace_back([this] { send_heartbeats(); });
    }

    /// The process ends: nothing listens any more and its connections are reset.
    void stop()
    {
        if (m_stopping.exchange(true))
            return;
        shutdown(m_listener, SHUT_RDWR);
        for (std::thread& thread : m_threads)
            thread.join();
        close(m_listener);
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_connections)
            shutdown(fd, SHUT_RDWR);
    }

    /// Sends DELETE and goes on serving; there are no further heartbeats. Returns the time of the acknowledgement.
    double deregister()
    {
        m_deregistered = true;
        const std::string text = json{{"born", m_born}}.dump();
        const reply got =
            exchange(m_settings.control,
                     "DELETE /-/instances/" + m_settings.instance + " HTTP/1.1\r\nHost: " + m_settings.control.text() +
                         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
                         "\r\nConnection: close\r\n\r\n" + text,
                     1.0);
        record.line("DELETE   target=%s acknowledged with %d", m_settings.instance.c_str(), got.status);
        return got.at;
    }

    /// While silent, the target sends nothing: no answers and no heartbeats.
    void set_silent(bool silent) { m_silent = silent; }
    /// While paused, no new connection is taken from the queue.
    void set_accepting(bool accepting) { m_accepting = accepting; }
    void set_work(double seconds) { m_work_s = seconds; }
    const target_settings& settings() const { return m_settings; }

private:
    void accept_connections()
    {
        while (!m_stopping) {
            pollfd ready{m_listener, POLLIN, 0};
            if (!m_accepting || poll(&ready, 1, 20) != 1) {
                if (!m_accepting)
                    sleep_s(0.001);
                continue;
            }
            const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            sleep_s(m_settings.accept_s);
            {
                const std::lock_guard lock(m_mutex);
                m_connections.insert(fd);
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        message_reader reader(fd);
        while (auto request = reader.read(30)) {
            if (m_stopping || !answer(fd, *request))
                break;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_connections.erase(fd);
        }
        close(fd);
    }

    bool answer(int fd, const message& request)
    {
        const std::string id = request.field("x-mulberrygrade-request-id");
        const std::string echo = "X-Mulberrygrade-Request-Id: " + id + "\r\n";
        if (request.word(1) == "/healthz")
            return write_all(fd,
                             response_text(200, "X-Mulberrygrade-Instance-Id: " + m_settings.instance + "\r\n", ""));
        const std::string expected = request.field("x-mulberrygrade-expected-instance");
        if (!expected.empty() && expected != m_settings.instance) {
            record.line("421      id=%s target=%s expected=%s", id.c_str(), m_settings.instance.c_str(),
                        expected.c_str());
            return write_all(
                fd, response_text(421, echo + "X-Mulberrygrade-Instance-Id: " + m_settings.instance + "\r\n", ""));
        }
        if (m_running.fetch_add(1) >= m_settings.slots) {
            m_running.fetch_sub(1);
            return write_all(fd, response_text(503, echo + "X-Mulberrygrade-Not-Executed: 1\r\n", ""));
        }
        runs.add({id, m_settings.instance, m_settings.service, request.word(0), request.word(1),
                  request.field("x-mulberrygrade-caller-service"), request.field("x-mulberrygrade-tenant"), now_s()});
        sleep_s(m_work_s >= 0 ? m_work_s.load() : m_settings.work_s);
        m_running.fetch_sub(1);
        while (m_silent && !m_stopping)
            sleep_s(0.01);
        if (m_stopping)
            return false;
        return write_all(fd,
                         response_text(200, echo + "X-Mulberrygrade-Server-Signature: " + m_settings.instance + "\r\n",
                                       "done " + id));
    }

    void send_heartbeats()
    {
        while (!m_stopping) {
            if (!m_silent && !m_deregistered)
                send_heartbeat();
            const double next = now_s() + m_settings.heartbeat_s;
            while (!m_stopping && now_s() < next)
                sleep_s(0.02);
        }
    }

    void send_heartbeat()
    {
        const json body{{"address", m_settings.address.text()},
                        {"born", m_born},
                        {"info",
                         {{"service", m_settings.service},
                          {"version", "v1"},
                          {"zone", m_settings.zone},
                          {"slots", m_settings.slots}}},
                        {"status", {{"state", "ready"}, {"sequence", ++m_sequence}, {"cold_remaining", "0ms"}}}};
        const std::string text = body.dump();
        exchange(m_settings.control,
                 "PUT /-/instances/" + m_settings.instance + " HTTP/1.1\r\nHost: " + m_settings.control.text() +
                     "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
                     "\r\nConnection: close\r\n\r\n" + text,
                 1.0);
    }

    target_settings m_settings;
    std::int64_t m_born;
    int m_sequence = 0;
    int m_listener = -1;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_silent = false;
    std::atomic<bool> m_accepting = true;
    std::atomic<bool> m_deregistered = false;
    std::atomic<double> m_work_s = -1;
    std::atomic<int> m_running = 0;
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::vector<std::thread> m_threads;
};

// --------------------------------------------------------------------------------------------------------- sidecar

struct machine {
    std::string name;
    std::string zone;
    std::string region;
    std::string service;
    std::string ip;
    endpoint app;
    endpoint outbound;
    endpoint inbound;
    endpoint readiness;
    endpoint control;
    endpoint store;
};

inline machine make_machine(const std::string& name, const std::string& zone, const std::string& region,
                            const std::string& service, const std::string& ip, const endpoint& store_address)
{
    machine made{name, zone, region, service, ip, {}, {}, {}, {}, {}, store_address};
    made.app = free_endpoint(ip);
    made.outbound = free_endpoint(ip);
    made.inbound = free_endpoint(ip);
    made.readiness = free_endpoint(ip);
    made.control = free_endpoint(ip);
    return made;
}

/// A process of the project, started as the deploy file says, with its settings file in a temporary folder.
class sidecar {
public:
    sidecar(machine where, std::string program, std::string folder)
        : m_machine(std::move(where)), m_program(std::move(program)), m_folder(std::move(folder))
    {
        std::ofstream settings(settings_path());
        settings << "node_name = \"" << m_machine.name << "\"\nfailure_domain = \"" << m_machine.zone
                 << "\"\nregion = \"" << m_machine.region << "\"\nservice = \"" << m_machine.service
                 << "\"\nupstream = \"" << m_machine.app.text() << "\"\ncallers_listen = \""
                 << m_machine.outbound.text() << "\"\npeers_listen = \"" << m_machine.inbound.text()
                 << "\"\nreadiness_listen = \"" << m_machine.readiness.text() << "\"\nannouncements_listen = \""
                 << m_machine.control.text() << "\"\nstore = \"" << m_machine.store.text()
                 << "\"\nshortest_lease = \"1000ms\"\nmemory_limit_mb = 260\ndescriptor_limit = 4100\n"
                    "withdrawal_limit = \"5000ms\"\ndrain_limit = \"2500ms\"\nstop_limit = \"6s\"\nretry_ratio = 0.2\n"
                    "retry_slack = 48\nretry_window = \"10s\"\n";
    }
    ~sidecar() { kill_now(); }

    void start()
    {
        m_pid = fork();
        if (m_pid != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL); // the daemon ends with the script
        const int log = open((m_folder + "/" + m_machine.name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        const std::string setting = "MULBERRYGRADE_SETTINGS=" + settings_path();
        const char* const arguments[] = {m_program.c_str(), nullptr};
        const char* const environment[] = {setting.c_str(), "PATH=/usr/bin:/bin", nullptr};
        execve(m_program.c_str(), const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
        _exit(127);
    }

    void send_signal(int number)
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    void freeze()
    {
        record.line("freeze   machine=%s", m_machine.name.c_str());
        send_signal(SIGSTOP);
    }
    void wake()
    {
        record.line("wake     machine=%s", m_machine.name.c_str());
        send_signal(SIGCONT);
    }
    void kill_now()
    {
        if (m_pid <= 0)
            return;
        send_signal(SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
    /// True if the process has ended by itself.
    bool has_ended()
    {
        if (m_pid <= 0 || waitpid(m_pid, nullptr, WNOHANG) != m_pid)
            return false;
        m_pid = 0;
        return true;
    }

    bool is_ready() const
    {
        return exchange(m_machine.readiness, "GET /-/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n", 1)
                   .status == 200;
    }
    const machine& where() const { return m_machine; }

private:
    std::string settings_path() const { return m_folder + "/" + m_machine.name + ".toml"; }

    machine m_machine;
    std::string m_program;
    std::string m_folder;
    pid_t m_pid = 0;
};

// --------------------------------------------------------------------------------------------------------- clients

struct client_request {
    std::string id;
    std::string method = "POST";
    std::string host;
    std::string path;
    std::string key;
    int deadline_ms = 5000;
    std::string body;
};

struct sent_request {
    client_request request;
    double sent_at = 0;
    double answered_at = 0;
    int status = 0; // 0: the connection ended or the deadline passed without an answer
    bool has_signature = false;
};

inline std::string request_text(const client_request& request)
{
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host +
                       "\r\nX-Mulberrygrade-Request-Id: " + request.id +
                       "\r\nX-Mulberrygrade-Deadline-Ms: " + std::to_string(request.deadline_ms) + "\r\n";
    if (!request.key.empty())
        text += "Authorization: Token " + request.key + "\r\n";
    if (!request.body.empty() || request.method == "POST")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

/// What the clients sent and got.
class client_log {
public:
    sent_request send(const endpoint& to, const client_request& request)
    {
        sent_request sent{request, now_s(), 0, 0, false};
        record.line("sent     id=%s %s %s%s deadline_ms=%d", request.id.c_str(), request.method.c_str(),
                    request.host.c_str(), request.path.c_str(), request.deadline_ms);
        const reply got = exchange(to, request_text(request), request.deadline_ms / 1000.0);
        sent.status = got.status;
        sent.answered_at = got.at;
        sent.has_signature = !got.content.field("x-mulberrygrade-server-signature").empty();
        record.line("answered id=%s status=%d signature=%d reason=%s", request.id.c_str(), sent.status,
                    sent.has_signature, sent.has_signature ? "-" : got.content.body.substr(0, 200).c_str());
        const std::lock_guard lock(m_mutex);
        m_sent.push_back(sent);
        return sent;
    }
    std::vector<sent_request> sent() const
    {
        const std::lock_guard lock(m_mutex);
        return m_sent;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<sent_request> m_sent;
};

inline client_log clients;

// ------------------------------------------------------------------------------------------------------ the checks

/// TWICE and REFUSED as the rules say, for requests that are not idempotent. Returns the number of requests that break
/// them. Idempotent requests are those with GET.
inline int count_repeated_or_refused_runs()
{
    std::map<std::string, int> counts;
    for (const run_entry& entry : runs.entries())
        ++counts[entry.request_id];
    int broken = 0;
    for (const sent_request& sent : clients.sent()) {
        if (sent.request.method == "GET")
            continue;
        const int count = counts[sent.request.id];
        const bool refused = sent.status == 429 || sent.status == 503 || sent.status == 408 || sent.status == 421;
        if (count > 1)
            record.line("BROKEN TWICE id=%s ran %d times, answered %d", sent.request.id.c_str(), count, sent.status);
        if (refused && count > 0)
            record.line("BROKEN REFUSED id=%s answered %d and ran %d times", sent.request.id.c_str(), sent.status,
                        count);
        broken += count > 1 || (refused && count > 0) ? 1 : 0;
    }
    return broken;
}

// ------------------------------------------------------------------------------------------------------- the fleet

/// Options of a case program: the folder of the case, the project's program, and whether the disruption takes place.
struct options {
    std::string folder;
    std::string program;
    bool trouble = true;
};

inline options read_options(int argc, char** argv)
{
    if (argc < 3)
        cannot_run("usage: case FOLDER PROGRAM");
    signal(SIGPIPE, SIG_IGN);
    char* const program = realpath(argv[2], nullptr);
    if (program == nullptr)
        cannot_run(std::string("the program is not built: ") + argv[2]);
    options made{argv[1], program, true};
    if (const char* trouble = std::getenv("TROUBLE"))
        made.trouble = std::string(trouble) != "0";
    record.open(made.folder + "/record.txt");
    record.line("start trouble=%d", made.trouble);
    return made;
}

/// A temporary folder for settings and logs, removed at the end.
class temporary_folder {
public:
    temporary_folder()
    {
        char path[] = "/tmp/review-XXXXXX";
        if (mkdtemp(path) == nullptr)
            cannot_run("no temporary folder");
        m_path = path;
    }
    ~temporary_folder()
    {
        if (std::getenv("KEEP_LOGS") != nullptr)
            return;
        const std::string command = "rm -rf " + m_path;
        if (std::system(command.c_str()) != 0)
            std::fprintf(stderr, "%s is left\n", m_path.c_str());
    }
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

inline void wait_until_ready(const std::vector<std::unique_ptr<sidecar>>& fleet, double limit_s)
{
    const double end = now_s() + limit_s;
    for (const auto& each : fleet) {
        while (!each->is_ready()) {
            if (now_s() > end)
                cannot_run(each->where().name + " is not ready");
            sleep_s(0.05);
        }
    }
}

/// Ends the program with the result of the case: threads of the stand-ins may still wait.
[[noreturn]] inline void end_case(std::vector<std::unique_ptr<sidecar>>& fleet, temporary_folder& folder, int broken,
                                  const char* rule)
{
    record.line("result   %s %s (%d requests)", rule, broken > 0 ? "broken" : "held", broken);
    std::printf("%s %s (%d)\n", rule, broken > 0 ? "broken" : "held", broken);
    std::fflush(stdout);
    fleet.clear();
    folder.~temporary_folder();
    _exit(broken > 0 ? 1 : 0);
}

} // namespace review
