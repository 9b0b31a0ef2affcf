#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace mulberry {

/// The byte stream of one connection between daemons, with or without encryption. Completion handlers run on the event
/// loop's thread.
class peer_stream {
public:
    using handshake_handler = std::function<void(const boost::system::error_code&)>;
    using transfer_handler = std::function<void(const boost::system::error_code&, std::size_t)>;

    peer_stream() = default;
    peer_stream(const peer_stream&) = delete;
    peer_stream& operator=(const peer_stream&) = delete;
    virtual ~peer_stream() = default;

    virtual boost::asio::ip::tcp::socket& socket() = 0;
    virtual void handshake(handshake_handler done) = 0;
    virtual void read_some(boost::asio::mutable_buffer buffer, transfer_handler done) = 0;
    /// Writes all bytes and then calls back.
    virtual void write(boost::asio::const_buffer bytes, transfer_handler done) = 0;
    /// Returns the peer's name as proved by the handshake, or an empty string if the handshake proves no name.
    virtual std::string authenticated_name() = 0;
};

/// Determines how the daemons of a deployment authenticate each other.
class peer_security {
public:
    enum class role { client, server };

    peer_security() = default;
    peer_security(const peer_security&) = delete;
    peer_security& operator=(const peer_security&) = delete;
    virtual ~peer_security() = default;

    virtual std::unique_ptr<peer_stream> make_stream(boost::asio::ip::tcp::socket socket, role side) = 0;
    /// Returns true if the handshake proves the peer's name. Otherwise each call carries own_name() and credential().
    virtual bool authenticates_connections() const = 0;
    virtual const std::string& own_name() const = 0;
    /// The secret shared by all daemons of the deployment. It is empty until the secret is available, and no call is
    /// accepted until then.
    virtual std::string_view credential() const = 0;
};

} // namespace mulberry
