#include "libs/peer/tlsidentity.h"

#include "libs/base/asyncerror.h"
#include "libs/peer/certificatename.h"

#include <array>

#include <boost/asio/ssl/context.hpp>

namespace mulberry {

namespace {

namespace ssl = boost::asio::ssl;

constexpr std::array<unsigned char, 3> http2_protocol{2, 'h', '2'};

int select_protocol(SSL*, const unsigned char** chosen, unsigned char* chosen_length, const unsigned char* offered,
                    unsigned int offered_length, void*)
{
    unsigned char* match = nullptr;
    const int result = SSL_select_next_proto(&match, chosen_length, http2_protocol.data(), http2_protocol.size(),
                                             offered, offered_length);
    *chosen = match;
    return result == OPENSSL_NPN_NEGOTIATED ? SSL_TLSEXT_ERR_OK : SSL_TLSEXT_ERR_ALERT_FATAL;
}

leaf::result<std::shared_ptr<ssl::context>> failed(tls_error error)
{
    return captured_error<std::shared_ptr<ssl::context>>(error);
}

leaf::result<std::shared_ptr<ssl::context>> make_context(ssl::context::method method, const tls_files& files)
{
    auto context = std::make_shared<ssl::context>(method);
    boost::system::error_code error;
    context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
    if (context->load_verify_file(files.ca, error))
        return failed(tls_error::bad_ca);
    if (context->use_certificate_chain_file(files.certificate, error))
        return failed(tls_error::bad_certificate);
    if (context->use_private_key_file(files.key, ssl::context::pem, error)) {
        const bool mismatch = error.value() != 0 &&
                              ERR_GET_REASON(static_cast<unsigned long>(error.value())) == X509_R_KEY_VALUES_MISMATCH;
        return failed(mismatch ? tls_error::key_mismatch : tls_error::bad_key);
    }
    SSL_CTX* handle = context->native_handle();
    if (SSL_CTX_check_private_key(handle) != 1)
        return failed(tls_error::key_mismatch);
    SSL_CTX_set_min_proto_version(handle, TLS1_3_VERSION);
    SSL_CTX_set_session_cache_mode(handle, SSL_SESS_CACHE_OFF);
    // Connections are long-lived, so session resumption is not worth the bytes of its tickets.
    SSL_CTX_set_num_tickets(handle, 0);
    SSL_CTX_set_mode(handle, SSL_MODE_RELEASE_BUFFERS);
    SSL_CTX_set_alpn_protos(handle, http2_protocol.data(), http2_protocol.size());
    SSL_CTX_set_alpn_select_cb(handle, select_protocol, nullptr);
    return context;
}

} // namespace

std::string_view to_string(tls_error error)
{
    switch (error) {
    case tls_error::bad_ca:
        return "the CA file is missing or invalid";
    case tls_error::bad_certificate:
        return "the certificate file is missing or invalid";
    case tls_error::bad_key:
        return "the key file is missing or invalid";
    case tls_error::key_mismatch:
        return "the key does not belong to the certificate";
    case tls_error::no_common_name:
        return "the certificate has no usable subject common name";
    }
    return "invalid";
}

leaf::result<tls_identity> tls_identity::load(const tls_files& files)
{
    tls_identity identity;
    BOOST_LEAF_ASSIGN(identity.m_server, make_context(ssl::context::tls_server, files));
    BOOST_LEAF_ASSIGN(identity.m_client, make_context(ssl::context::tls_client, files));
    auto name = detail::common_name(SSL_CTX_get0_certificate(identity.m_server->native_handle()));
    if (!name)
        return captured_error<tls_identity>(tls_error::no_common_name);
    identity.m_node_name = std::move(*name);
    return identity;
}

} // namespace mulberry
