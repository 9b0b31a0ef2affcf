#include "libs/peer/tlssecurity.h"

#include "libs/peer/certificatename.h"

#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>

namespace mulberry {

namespace {

namespace ssl = boost::asio::ssl;
using boost::asio::ip::tcp;

class tls_stream final : public peer_stream {
public:
    tls_stream(tcp::socket socket, ssl::context& context, ssl::stream_base::handshake_type side)
        : m_stream(std::move(socket), context), m_side(side)
    {
    }

    tcp::socket& socket() override { return m_stream.next_layer(); }

    void handshake(handshake_handler done) override { m_stream.async_handshake(m_side, std::move(done)); }

    void read_some(boost::asio::mutable_buffer buffer, transfer_handler done) override
    {
        m_stream.async_read_some(buffer, std::move(done));
    }

    void write(boost::asio::const_buffer bytes, transfer_handler done) override
    {
        boost::asio::async_write(m_stream, bytes, std::move(done));
    }

    std::string authenticated_name() override
    {
        SSL* handle = m_stream.native_handle();
        const unsigned char* protocol = nullptr;
        unsigned int length = 0;
        SSL_get0_alpn_selected(handle, &protocol, &length);
        const std::string_view chosen(static_cast<const char*>(static_cast<const void*>(protocol)), length);
        const X509* certificate = SSL_get0_peer_certificate(handle);
        if (chosen != "h2" || certificate == nullptr || SSL_get_verify_result(handle) != X509_V_OK)
            return {};
        return detail::common_name(certificate).value_or(std::string());
    }

private:
    ssl::stream<tcp::socket> m_stream;
    ssl::stream_base::handshake_type m_side;
};

class tls_security final : public peer_security {
public:
    explicit tls_security(tls_identity identity) : m_identity(std::move(identity)) {}

    std::unique_ptr<peer_stream> make_stream(tcp::socket socket, role side) override
    {
        if (side == role::client) {
            return std::make_unique<tls_stream>(std::move(socket), m_identity.client_context(),
                                                ssl::stream_base::client);
        }
        return std::make_unique<tls_stream>(std::move(socket), m_identity.server_context(), ssl::stream_base::server);
    }

    bool authenticates_connections() const override { return true; }
    const std::string& own_name() const override { return m_identity.node_name(); }
    std::string_view credential() const override { return {}; }

private:
    tls_identity m_identity;
};

} // namespace

std::shared_ptr<peer_security> make_tls_security(tls_identity identity)
{
    return std::make_shared<tls_security>(std::move(identity));
}

tls_identity::operator std::shared_ptr<peer_security>() const
{
    return make_tls_security(*this);
}

} // namespace mulberry
