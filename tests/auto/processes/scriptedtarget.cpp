#include "auto/processes/scriptedtarget.h"

#include <nlohmann/json.hpp>

namespace mulberry::processes {

namespace {

using namespace standin;

constexpr std::size_t chunk_bytes = std::size_t{64} * 1024;
/// Time for the part of the response to arrive, because a reset can overtake it.
constexpr int pause_before_reset_ms = 50;
constexpr std::int64_t start_ms = 1'700'000'000'000;
constexpr std::string_view chunk_size_line = "10000\r\n";

const std::string request_id_field = "X-Mulberrygrade-Request-Id";

/// Returns the number after the last slash of the path; 0 if there is none.
std::size_t number_of(const std::string& path)
{
    return static_cast<std::size_t>(std::atoll(path.c_str() + path.rfind('/') + 1));
}

std::string body_of(std::size_t bytes)
{
    std::string body(scripted_target::body_begin);
    body.resize(std::max(bytes, body.size()), 'x');
    return body;
}

std::string head_without_length(const headers& fields)
{
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto& [name, value] : fields)
        head.append(name).append(": ").append(value).append("\r\n");
    return head;
}

} // namespace

scripted_target::scripted_target(std::uint16_t port)
    : m_server([this](connection& link, const request& message) { return answer(link, message); }, port)
{
}

bool scripted_target::answer(connection& link, const request& message)
{
    const std::string& path = message.target;
    const std::string id = header_of(message.fields, request_id_field);
    headers fields{{request_id_field, id}, {"X-Mulberrygrade-Server-Signature", "signature-of-" + id}};
    if (path.find("/length/") != std::string::npos)
        return link.write(to_wire(200, fields, body_of(number_of(path))));
    if (path.find("/chunks/") != std::string::npos)
        return answer_in_chunks(link, fields, number_of(path));
    if (path.ends_with("/endless"))
        return answer_in_chunks(link, fields, SIZE_MAX);
    if (path.find("/raw/") != std::string::npos) {
        link.write(raw_answers.at(number_of(path)));
        return false;
    }
    if (path.ends_with("/hold") && !hold(link))
        return false;
    return link.write(to_wire(200, fields, body_of(0)));
}

bool scripted_target::answer_in_chunks(connection& link, const headers& fields, std::size_t bytes) const
{
    const std::string chunk = std::string(chunk_size_line) + std::string(chunk_bytes, 'x') + "\r\n";
    bool is_open = link.write(head_without_length(fields) + "Transfer-Encoding: chunked\r\n\r\n");
    for (std::size_t sent = 0; sent < bytes && is_open; sent += chunk_bytes)
        is_open = link.write(chunk);
    return is_open && link.write("0\r\n\r\n");
}

bool scripted_target::hold(const connection& link)
{
    ++m_held;
    while (!m_released && !link.is_closed_by_peer())
        sleep_ms(20);
    --m_held;
    return !link.is_closed_by_peer();
}

early_target::early_target() : m_listener(listen_on(m_port)), m_thread([this] { serve(); }) {}

early_target::~early_target()
{
    m_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
}

void early_target::serve() const
{
    while (!m_stopping) {
        const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        connection link(fd);
        std::string head(4 * chunk_bytes, '\0');
        const ssize_t count = ::recv(fd, head.data(), head.size(), 0);
        head.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        const std::size_t name = head.find(request_id_field);
        if (name == std::string::npos)
            continue;
        const std::size_t begin = head.find(' ', name) + 1;
        const std::string id = head.substr(begin, head.find("\r\n", begin) - begin);
        std::string answer = "HTTP/1.1 200 OK\r\nX-Mulberrygrade-Server-Signature: s\r\n";
        answer.append(request_id_field).append(": ").append(id).append("\r\n\r\npart of the answer");
        link.write(answer);
        sleep_ms(pause_before_reset_ms);
        link.reset_on_close();
    }
}

heartbeat_sender::heartbeat_sender(std::string service, std::uint16_t target_port, std::uint16_t announcement_port,
                                   int slots)
    : m_thread([this, service = std::move(service), target_port, announcement_port, slots] {
          while (!m_stopping) {
              send(service, target_port, announcement_port, slots);
              for (int i = 0; i < 50 && !m_stopping; ++i)
                  sleep_ms(20);
          }
      })
{
}

heartbeat_sender::~heartbeat_sender()
{
    m_stopping = true;
    m_thread.join();
}

void heartbeat_sender::send(const std::string& service, std::uint16_t target_port, std::uint16_t announcement_port,
                            int slots)
{
    const nlohmann::json body{{"address", "127.0.0.1:" + std::to_string(target_port)},
                              {"born", start_ms},
                              {"info", {{"service", service}, {"version", "v1"}, {"zone", "z"}, {"slots", slots}}},
                              {"status", {{"state", "ready"}, {"sequence", ++m_sequence}, {"cold_remaining", "0ms"}}}};
    exchange(
        announcement_port,
        {"PUT", "/-/instances/i-" + service, {{"Host", "node"}, {"Content-Type", "application/json"}}, body.dump()},
        1000);
}

} // namespace mulberry::processes
