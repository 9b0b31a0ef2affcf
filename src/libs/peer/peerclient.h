#pragma once

#include "libs/peer/peercaller.h"
#include "libs/peer/peersettings.h"
#include "libs/peer/peerstream.h"

#include <memory>

namespace mulberry {

class event_loop;

/// Calls over HTTP/2 and mutual TLS 1.3, with one kept connection per peer that is opened on demand. A call is written
/// only after the peer has shown a valid certificate with the node's name and has accepted ours, so both failures are
/// not_sent.
class peer_client final : public peer_caller {
public:
    peer_client(event_loop& loop, std::shared_ptr<peer_security> security, const peer_settings& settings = {});
    /// Drops all connections; callbacks of open calls never come.
    ~peer_client() override;

    peer_call_id call(std::string_view node_name, std::string_view address, std::string_view path, std::string payload,
                      peer_callback done) override;
    void cancel(peer_call_id id) override;

    /// Refuses new calls as not_sent, finishes open ones, sends GOAWAY, closes the connections and then calls back.
    void stop(std::function<void()> done);

    const peer_counters& counters() const;
    std::size_t open_connections() const;

private:
    class implementation;

    std::shared_ptr<implementation> m_implementation;
};

} // namespace mulberry
