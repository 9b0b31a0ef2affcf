#pragma once

#include "libs/peer/tlsidentity.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl.hpp>

namespace mulberry {

/// HTTP/2 frames that are composed byte by byte, so that they can violate the protocol.
namespace raw {

inline constexpr std::string_view preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

std::string frame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream, std::string_view payload);
std::string settings();
/// Frames with a header block that does not end the stream; without a length the content-length field is omitted.
std::string request(std::uint32_t stream, const std::optional<std::string>& length);
std::string response(std::uint32_t stream, const std::optional<std::string>& length);
std::string data(std::uint32_t stream, std::string_view bytes, bool ends_stream);
std::string reset(std::uint32_t stream, std::uint32_t code);
std::string goaway(std::uint32_t last_stream);

} // namespace raw

/// A blocking TLS connection. Errors end reads and writes silently, because the other side may close at any time.
class raw_connection {
public:
    raw_connection(boost::asio::ip::tcp::socket socket, boost::asio::ssl::context& context)
        : m_stream(std::move(socket), context)
    {
    }

    bool handshake(boost::asio::ssl::stream_base::handshake_type side);
    void write(std::string_view bytes);
    /// Reads the frames that a client sends until one has the given type.
    void read_until_frame(std::uint8_t type);
    /// Reads until the connection ends and returns the bytes.
    std::string read_all();

private:
    boost::asio::ssl::stream<boost::asio::ip::tcp::socket> m_stream;
};

/// Accepts one connection on its own thread and runs a script on it; the connection is closed after the script.
class raw_server {
public:
    raw_server(boost::asio::ssl::context& context, std::function<void(raw_connection&)> script);
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    ~raw_server();

    std::string address() const;

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// Connects to an address, performs the handshake, writes the bytes and reads until the connection ends, all on its own
/// thread.
class raw_client {
public:
    raw_client(boost::asio::ssl::context& context, const std::string& address, std::string bytes,
               bool close_after_write);
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;
    ~raw_client();

    bool done() const { return m_done; }

private:
    std::atomic<bool> m_done = false;
    std::thread m_thread;
};

} // namespace mulberry
