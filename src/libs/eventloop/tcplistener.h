#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace mulberry {

class event_loop;

/// A listening TCP socket that gives each accepted connection to a function, on the event loop's thread. Accepting
/// pauses shortly after an error.
class tcp_listener {
public:
    using take_socket = std::function<void(boost::asio::ip::tcp::socket)>;

    tcp_listener(event_loop& loop, take_socket take);
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;
    /// The function is not called any more.
    ~tcp_listener();

    /// Listens on a numeric address; port 0 takes any free port. Returns the port, or 0 with the system's error.
    std::uint16_t start(std::string_view address, std::uint16_t port, boost::system::error_code& error);
    /// Closes the listening socket.
    void stop();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace mulberry
