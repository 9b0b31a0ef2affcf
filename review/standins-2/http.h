// Small blocking HTTP/1.1 pieces for the stand-ins: sockets, a server with a thread per connection, a client
// connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Seconds since the start of the program.
inline double now_s()
{
    static const clock::time_point start = clock::now();
    return std::chrono::duration<double>(clock::now() - start).count();
}

inline void sleep_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

using headers = std::vector<std::pair<std::string, std::string>>;

inline std::string header_of(const headers& fields, const std::string& name)
{
    for (const auto& [key, value] : fields) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

struct request {
    std::string method;
    std::string target;
    headers fields;
    std::string body;
};

struct response {
    int status = 0; // 0: the connection failed before a complete response
    headers fields;
    std::string body;
    bool complete = false;
};

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Listens on 127.0.0.1. Returns the socket; `port` 0 is replaced by the chosen one.
inline int listen_on(std::uint16_t& port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/// A port below those that the system gives out by itself, free a moment ago and not returned before.
inline std::uint16_t free_port()
{
    constexpr int first_port = 20000;
    constexpr int port_count = 12000;
    static int offset = static_cast<int>(::getpid()) * 97 % port_count;
    while (true) {
        offset = (offset + 1) % port_count;
        auto port = static_cast<std::uint16_t>(first_port + offset);
        const int fd = listen_on(port);
        if (fd < 0)
            continue;
        ::close(fd);
        return port;
    }
}

/// One connection with a read buffer. Not thread-safe, but for abort().
class connection {
public:
    explicit connection(int fd) : m_fd(fd)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { ::close(m_fd); }

    static std::unique_ptr<connection> to(std::uint16_t port, int timeout_ms = 1000)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(port);
        timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
        ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<connection>(fd);
    }

    int fd() const { return m_fd; }
    /// Ends reading and writing; a connection that is to be reset sends nothing before its close.
    void abort() { ::shutdown(m_fd, m_resets ? SHUT_RD : SHUT_RDWR); }
    /// The next close resets the connection.
    void reset_on_close()
    {
        m_resets = true;
        const linger hard{1, 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    }

    bool write(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Whether the peer has closed the connection; bytes that wait do not count.
    bool is_closed_by_peer() const
    {
        char byte = 0;
        const ssize_t count = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::optional<request> read_request()
    {
        std::string head;
        if (!read_head(head, {}))
            return std::nullopt;
        request result;
        std::string version;
        if (!parse_head(head, result.method, result.target, version, result.fields))
            return std::nullopt;
        const std::string length = header_of(result.fields, "Content-Length");
        if (!length.empty() && !read_exactly(std::stoul(length), result.body, {}))
            return std::nullopt;
        return result;
    }

    /// Reads a response with a length or up to the end of the connection, until `end`.
    response read_response(clock::time_point end)
    {
        response result;
        std::string head;
        if (!read_head(head, end))
            return result;
        std::string version;
        std::string status;
        std::string text;
        if (!parse_head(head, version, status, text, result.fields))
            return result;
        result.status = std::atoi(status.c_str());
        const std::string length = header_of(result.fields, "Content-Length");
        if (length.empty())
            return result;
        result.complete = read_exactly(std::stoul(length), result.body, end);
        return result;
    }

private:
    bool fill(std::optional<clock::time_point> end)
    {
        if (end) {
            const auto left = std::chrono::duration_cast<milliseconds>(*end - clock::now()).count();
            pollfd entry{m_fd, POLLIN, 0};
            if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
                return false;
        }
        char buffer[65536];
        const ssize_t count = ::recv(m_fd, buffer, sizeof buffer, 0);
        if (count <= 0)
            return false;
        m_buffer.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    bool read_head(std::string& head, std::optional<clock::time_point> end)
    {
        std::size_t at = 0;
        while ((at = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(end))
                return false;
        }
        head = m_buffer.substr(0, at + 2);
        m_buffer.erase(0, at + 4);
        return true;
    }

    bool read_exactly(std::size_t size, std::string& out, std::optional<clock::time_point> end)
    {
        while (m_buffer.size() < size) {
            if (!fill(end))
                return false;
        }
        out = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

    static bool parse_head(const std::string& head, std::string& first, std::string& second, std::string& third,
                           headers& fields)
    {
        const std::size_t line_end = head.find("\r\n");
        const std::string line = head.substr(0, line_end);
        const std::size_t a = line.find(' ');
        if (a == std::string::npos)
            return false;
        const std::size_t b = std::min(line.find(' ', a + 1), line.size());
        first = line.substr(0, a);
        second = line.substr(a + 1, b - a - 1);
        third = b < line.size() ? line.substr(b + 1) : std::string();
        std::size_t at = line_end + 2;
        while (at < head.size()) {
            const std::size_t end = head.find("\r\n", at);
            const std::string field = head.substr(at, end - at);
            const std::size_t colon = field.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = std::min(field.find_first_not_of(' ', colon + 1), field.size());
                fields.emplace_back(field.substr(0, colon), field.substr(value));
            }
            at = end + 2;
        }
        return true;
    }

    int m_fd;
    std::atomic<bool> m_resets{false};
    std::string m_buffer;
};

inline std::string to_wire(int status, const headers& fields, const std::string& body)
{
    std::string wire = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : fields)
        wire += name + ": " + value + "\r\n";
    wire += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return wire;
}

inline std::string to_wire(const request& message)
{
    std::string wire = message.method + " " + message.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : message.fields)
        wire += name + ": " + value + "\r\n";
    if (!message.body.empty() || message.method == "POST" || message.method == "PUT")
        wire += "Content-Length: " + std::to_string(message.body.size()) + "\r\n";
    return wire + "\r\n" + message.body;
}

/// Sends one request on a new connection.
inline response exchange(std::uint16_t port, const request& message, int timeout_ms)
{
    const auto end = clock::now() + milliseconds(timeout_ms);
    const auto link = connection::to(port);
    if (!link || !link->write(to_wire(message)))
        return {};
    return link->read_response(end);
}

/// A server with a thread per connection. The handler answers on the connection itself and returns whether the
/// connection is kept. Connections that are accepted while the server is silent are neither read nor closed.
class server {
public:
    using handler = std::function<bool(connection&, const request&)>;

    explicit server(handler on_request, std::uint16_t port = 0) : m_handler(std::move(on_request)), m_port(port)
    {
        m_listener = listen_on(m_port);
        m_acceptor = std::thread([this] { accept_all(); });
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server()
    {
        stop_listening();
        reset_all();
        for (int i = 0; i < 400 && m_threads > 0; ++i)
            sleep_ms(10);
    }

    std::uint16_t port() const { return m_port; }
    bool is_listening() const { return m_listener >= 0; }

    void stop_listening()
    {
        if (m_stopped.exchange(true))
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
    }

    /// Resets all connections, as the crash of a process does.
    void reset_all()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& each : m_connections) {
            each->reset_on_close();
            each->abort();
        }
    }

private:
    void accept_all()
    {
        while (!m_stopped) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            auto link = std::make_shared<connection>(fd);
            {
                const std::lock_guard lock(m_mutex);
                m_connections.push_back(link);
            }
            ++m_threads;
            std::thread([this, link] {
                while (const auto message = link->read_request()) {
                    if (!m_handler(*link, *message))
                        break;
                }
                link->abort();
                {
                    const std::lock_guard lock(m_mutex);
                    std::erase(m_connections, link);
                }
                --m_threads;
            }).detach();
        }
    }

    handler m_handler;
    std::uint16_t m_port;
    int m_listener = -1;
    std::thread m_acceptor;
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_threads{0};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<connection>> m_connections;
};

} // namespace standin
