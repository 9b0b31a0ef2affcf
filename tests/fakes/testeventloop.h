#pragma once

#include "libs/eventloop/asiotimerservice.h"
#include "libs/eventloop/eventloop.h"

#include <array>
#include <chrono>
#include <functional>
#include <string>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace mulberry {

/// An event loop that is driven by the test.
struct test_event_loop {
    event_loop loop;
    asio_timer_service timers{loop};

    /// Runs callbacks until the condition holds. Returns false if it does not hold within 20 s.
    bool run_until(const std::function<bool()>& condition)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < limit)
            loop.context().run_one_for(std::chrono::milliseconds(20));
        return condition();
    }
};

/// A TCP client that sends raw bytes and collects the bytes that it receives.
class raw_client {
public:
    raw_client(test_event_loop& test_loop, std::uint16_t port)
        : m_test_loop(test_loop), m_socket(test_loop.loop.context())
    {
        m_socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        read();
    }

    void send(std::string bytes)
    {
        m_sent = std::move(bytes);
        boost::asio::write(m_socket, boost::asio::buffer(m_sent));
    }

    void close() { m_socket.close(); }

    /// Waits until the received bytes contain the text. Returns false on a timeout.
    bool received(const std::string& text)
    {
        return m_test_loop.run_until([&] { return m_received.find(text) != std::string::npos; });
    }

    /// Waits until the connection is closed. Returns false on a timeout.
    bool ended()
    {
        return m_test_loop.run_until([&] { return m_connection_closed; });
    }

    /// All bytes received so far.
    const std::string& bytes() const { return m_received; }

private:
    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_buffer),
                                 [this](const boost::system::error_code& error, std::size_t count) {
                                     if (error) {
                                         m_connection_closed = true;
                                         return;
                                     }
                                     m_received.append(m_buffer.data(), count);
                                     read();
                                 });
    }

    test_event_loop& m_test_loop;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_sent;
    std::string m_received;
    std::array<char, 4096> m_buffer{};
    bool m_connection_closed = false;
};

} // namespace mulberry
