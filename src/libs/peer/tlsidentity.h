#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <boost/leaf.hpp>

namespace boost::asio::ssl {
class context;
} // namespace boost::asio::ssl

namespace mulberry {

namespace leaf = boost::leaf;

enum class tls_error : std::uint8_t { bad_ca, bad_certificate, bad_key, key_mismatch, no_common_name };

std::string_view to_string(tls_error error);

/// PEM files. The subject common name of the certificate is the node name; the certificate's issuer is in the CA file.
struct tls_files {
    std::string ca;
    std::string certificate;
    std::string key;
};

/// A node's certificate and the certificate authority that it trusts, for client and server connections with mutual TLS
/// 1.3. Copies share the data.
class tls_identity {
public:
    /// Loads and checks the files. Fails with tls_error.
    static leaf::result<tls_identity> load(const tls_files& files);

    /// The node name from the certificate.
    const std::string& node_name() const { return m_node_name; }

    boost::asio::ssl::context& server_context() const { return *m_server; }
    boost::asio::ssl::context& client_context() const { return *m_client; }

    /// Creates the security for peer connections that uses this identity.
    operator std::shared_ptr<class peer_security>() const; // NOLINT(google-explicit-constructor)

private:
    std::string m_node_name;
    std::shared_ptr<boost::asio::ssl::context> m_server;
    std::shared_ptr<boost::asio::ssl::context> m_client;
};

} // namespace mulberry
