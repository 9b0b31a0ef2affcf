#include "auto/libs/peer/rawpeer.h"

#include <array>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace mulberry {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint8_t end_headers = 0x4;
constexpr std::uint8_t end_stream = 0x1;

/// An HPACK literal without indexing whose name is given by its index in the static table.
std::string literal(std::string_view name_index, std::string_view value)
{
    return std::string(name_index) + static_cast<char>(value.size()) + std::string(value);
}

std::string length_field(const std::optional<std::string>& length)
{
    return length ? literal("\x0f\x0d", *length) : std::string();
}

std::string four_bytes(std::uint32_t value)
{
    std::string bytes;
    for (const unsigned shift : {24U, 16U, 8U, 0U})
        bytes += static_cast<char>(value >> shift & 0xffU);
    return bytes;
}

tcp::endpoint endpoint_of(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
    return {boost::asio::ip::make_address(address.substr(0, colon)), port};
}

} // namespace

std::string raw::frame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream, std::string_view payload)
{
    std::string bytes = four_bytes(static_cast<std::uint32_t>(payload.size())).substr(1);
    bytes += static_cast<char>(type);
    bytes += static_cast<char>(flags);
    return bytes + four_bytes(stream) + std::string(payload);
}

std::string raw::settings()
{
    return frame(4, 0, 0, "");
}

std::string raw::request(std::uint32_t stream, const std::optional<std::string>& length)
{
    // ":method POST" and ":scheme https" are entries of the static table.
    return frame(1, end_headers, stream,
                 "\x83\x87" + literal("\x04", "/test") + literal("\x01", "mulberry") + length_field(length));
}

std::string raw::response(std::uint32_t stream, const std::optional<std::string>& length)
{
    // ":status 200" is an entry of the static table.
    return frame(1, end_headers, stream, "\x88" + length_field(length));
}

std::string raw::data(std::uint32_t stream, std::string_view bytes, bool ends_stream)
{
    return frame(0, ends_stream ? end_stream : 0, stream, bytes);
}

std::string raw::reset(std::uint32_t stream, std::uint32_t code)
{
    return frame(3, 0, stream, four_bytes(code));
}

std::string raw::goaway(std::uint32_t last_stream)
{
    return frame(7, 0, 0, four_bytes(last_stream) + four_bytes(0));
}

bool raw_connection::handshake(boost::asio::ssl::stream_base::handshake_type side)
{
    error_code error;
    m_stream.handshake(side, error);
    return !error;
}

void raw_connection::write(std::string_view bytes)
{
    error_code ignored;
    boost::asio::write(m_stream, boost::asio::buffer(bytes), ignored);
}

void raw_connection::read_until_frame(std::uint8_t type)
{
    error_code error;
    std::array<char, raw::preface.size()> start{};
    boost::asio::read(m_stream, boost::asio::buffer(start), error);
    while (!error) {
        std::array<std::uint8_t, 9> header{};
        boost::asio::read(m_stream, boost::asio::buffer(header), error);
        std::string payload(static_cast<std::size_t>(header[0] << 16 | header[1] << 8 | header[2]), '\0');
        boost::asio::read(m_stream, boost::asio::buffer(payload), error);
        if (header[3] == type)
            return;
    }
}

std::string raw_connection::read_all()
{
    std::string bytes;
    error_code error;
    boost::asio::read(m_stream, boost::asio::dynamic_buffer(bytes), error);
    return bytes;
}

raw_server::raw_server(boost::asio::ssl::context& context, std::function<void(raw_connection&)> script)
    : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
{
    m_thread = std::thread([this, &context, script = std::move(script)] {
        raw_connection connection(m_acceptor.accept(), context);
        script(connection);
    });
}

raw_server::~raw_server()
{
    m_thread.join();
}

std::string raw_server::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

raw_client::raw_client(boost::asio::ssl::context& context, const std::string& address, std::string bytes,
                       bool close_after_write)
{
    m_thread = std::thread([this, &context, address, bytes = std::move(bytes), close_after_write] {
        boost::asio::io_context io;
        tcp::socket socket(io);
        socket.connect(endpoint_of(address));
        raw_connection connection(std::move(socket), context);
        if (connection.handshake(boost::asio::ssl::stream_base::client))
            connection.write(bytes);
        if (!close_after_write)
            connection.read_all();
        m_done = true;
    });
}

raw_client::~raw_client()
{
    m_thread.join();
}

} // namespace mulberry
