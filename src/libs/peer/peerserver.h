#pragma once

#include "libs/peer/peererror.h"
#include "libs/peer/peerhandler.h"
#include "libs/peer/peersettings.h"
#include "libs/peer/peerstream.h"

#include <boost/leaf.hpp>

namespace mulberry {

namespace leaf = boost::leaf;

class event_loop;

/// Accepts calls of other daemons. With TLS, only callers with a certificate of the trusted authority pass the
/// handshake. Used on the event loop's thread.
class peer_server {
public:
    peer_server(event_loop& loop, std::shared_ptr<peer_security> security, peer_handler& handler,
                const peer_settings& settings = {}, std::shared_ptr<memory_budget> memory = nullptr);
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    /// Closes all connections.
    ~peer_server();

    /// Listens on a numeric address; port 0 takes any free port. Returns the port, or fails with
    /// peer_error::listen_failed.
    leaf::result<std::uint16_t> start(std::string_view address, std::uint16_t port);

    /// Closes the listening socket, announces the end to every peer by GOAWAY, responds to all calls received before
    /// and then calls back.
    void stop(std::function<void()> done);

    const peer_counters& counters() const;
    std::size_t open_connections() const;

private:
    class implementation;

    std::shared_ptr<implementation> m_implementation;
};

} // namespace mulberry
