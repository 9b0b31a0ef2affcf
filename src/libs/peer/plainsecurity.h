#pragma once

#include "libs/peer/peerstream.h"

#include <string>

namespace mulberry {

/// Unencrypted connections for a network that only the deployment uses. A shared secret excludes unauthenticated peers.
class plain_security final : public peer_security {
public:
    explicit plain_security(std::string own_name) : m_own_name(std::move(own_name)) {}

    void set_secret(std::string secret) { m_secret = std::move(secret); }

    std::unique_ptr<peer_stream> make_stream(boost::asio::ip::tcp::socket socket, role side) override;
    bool authenticates_connections() const override { return false; }
    const std::string& own_name() const override { return m_own_name; }
    std::string_view credential() const override { return m_secret; }

private:
    std::string m_own_name;
    std::string m_secret;
};

} // namespace mulberry
