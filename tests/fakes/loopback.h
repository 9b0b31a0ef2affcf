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

/// An event loop that a test turns by itself.
struct loopback {
    event_loop loop;
    asio_timer_service timers{loop};

    /// Runs callbacks until the condition holds; false if it never does.
    bool run_until(const std::function<bool()>& condition)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < limit)
            loop.context().run_one_for(std::chrono::milliseconds(20));
        return condition();
    }
};

/// A client that sends bytes as they are and collects what comes back.
class raw_client {
public:
    raw_client(loopback& world, std::uint16_t port) : m_world(world), m_socket(world.loop.context())
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

    bool received(const std::string& text)
    {
        return m_world.run_until([&] { return m_received.find(text) != std::string::npos; });
    }

    bool ended()
    {
        return m_world.run_until([&] { return m_ended; });
    }

    const std::string& bytes() const { return m_received; }

private:
    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_buffer),
                                 [this](const boost::system::error_code& error, std::size_t count) {
                                     if (error) {
                                         m_ended = true;
                                         return;
                                     }
                                     m_received.append(m_buffer.data(), count);
                                     read();
                                 });
    }

    loopback& m_world;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_sent;
    std::string m_received;
    std::array<char, 4096> m_buffer{};
    bool m_ended = false;
};

} // namespace mulberry
