#pragma once

#include <http.h>

#include <atomic>
#include <string>
#include <thread>

namespace mulberry::processes {

/// A target that answers as the path of the request says; N is a number:
/// - ".../ok": a short body
/// - ".../length/N": a body of N bytes with a length
/// - ".../chunks/N": a body of N bytes in chunks
/// - ".../endless": chunks without end
/// - ".../hold": no answer until release()
/// - ".../raw/N": the N-th of `raw_answers`, and the end of the connection
class scripted_target {
public:
    explicit scripted_target(std::uint16_t port = 0);

    std::uint16_t port() const { return m_server.port(); }
    /// Answers the requests that are held, and no longer holds later ones.
    void release() { m_released = true; }
    std::size_t held() const { return m_held; }

    /// Set before the first request.
    std::vector<std::string> raw_answers;

    /// First line of the body of each answer but the endless ones.
    static constexpr std::string_view body_begin = "answer of the target";

private:
    bool answer(standin::connection& link, const standin::request& message);
    bool answer_in_chunks(standin::connection& link, const standin::headers& fields, std::size_t bytes) const;
    bool hold(const standin::connection& link);

    std::atomic<bool> m_released{false};
    std::atomic<std::size_t> m_held{0};
    standin::server m_server;
};

/// A target that responds to an upload before it has read it: with a response without a length, of which it sends a
/// part, and a reset of the connection.
class early_target {
public:
    early_target();
    early_target(const early_target&) = delete;
    early_target& operator=(const early_target&) = delete;
    ~early_target();

    std::uint16_t port() const { return m_port; }

private:
    void serve() const;

    std::uint16_t m_port = 0;
    int m_listener;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

/// Announces a target to the daemon beside it, once a second.
class heartbeat_sender {
public:
    heartbeat_sender(std::string service, std::uint16_t target_port, std::uint16_t announcement_port, int slots);
    heartbeat_sender(const heartbeat_sender&) = delete;
    heartbeat_sender& operator=(const heartbeat_sender&) = delete;
    ~heartbeat_sender();

private:
    void send(const std::string& service, std::uint16_t target_port, std::uint16_t announcement_port, int slots);

    std::atomic<bool> m_stopping{false};
    std::uint64_t m_sequence = 0;
    std::thread m_thread;
};

} // namespace mulberry::processes
