#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace mulberry {

class event_loop;

/// A listening TCP socket that passes each accepted connection to a handler on the event loop's thread. After an error
/// it waits for 100 ms before it accepts connections again.
class tcp_listener {
public:
    using socket_handler = std::function<void(boost::asio::ip::tcp::socket)>;

    tcp_listener(event_loop& loop, socket_handler handler);
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;
    /// Stops listening. The handler is not called after the destruction.
    ~tcp_listener();

    /// Starts listening on a numeric address. Port 0 selects any free port. Returns the port in use, or 0 on failure
    /// and then sets the error.
    std::uint16_t start(std::string_view address, std::uint16_t port, boost::system::error_code& error);
    /// Passes the connections that are waiting to be accepted to the handler, because closing the listening socket
    /// would reset them with the requests that they may have sent, and then closes the listening socket. Connections
    /// that were already accepted stay open.
    void stop();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace mulberry
