#include "libs/peer/plainsecurity.h"

#include <boost/asio/write.hpp>

namespace mulberry {

namespace {

class plain_stream final : public peer_stream {
public:
    explicit plain_stream(boost::asio::ip::tcp::socket socket) : m_socket(std::move(socket)) {}

    boost::asio::ip::tcp::socket& socket() override { return m_socket; }

    void handshake(handshake_handler done) override
    {
        m_socket.async_wait(boost::asio::ip::tcp::socket::wait_write, std::move(done));
    }

    void read_some(boost::asio::mutable_buffer buffer, transfer_handler done) override
    {
        m_socket.async_read_some(buffer, std::move(done));
    }

    void write(boost::asio::const_buffer bytes, transfer_handler done) override
    {
        boost::asio::async_write(m_socket, bytes, std::move(done));
    }

    std::string authenticated_name() override { return {}; }

private:
    boost::asio::ip::tcp::socket m_socket;
};

} // namespace

std::unique_ptr<peer_stream> plain_security::make_stream(boost::asio::ip::tcp::socket socket, role /*side*/)
{
    return std::make_unique<plain_stream>(std::move(socket));
}

} // namespace mulberry
