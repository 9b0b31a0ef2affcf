#pragma once

#include "libs/peer/peercaller.h"
#include "libs/peer/peersettings.h"
#include "libs/peer/peerstream.h"

#include <memory>

namespace mulberry {

class event_loop;

/// Sends calls over HTTP/2, with one persistent connection per peer that is opened on demand. Over TLS, a call is
/// written only after the peer has presented a valid certificate with the node's name and has accepted ours, so that a
/// failure of either is reported as not_sent.
class peer_client final : public peer_caller {
public:
    peer_client(event_loop& loop, std::shared_ptr<peer_security> security, const peer_settings& settings = {},
                std::shared_ptr<memory_budget> memory = nullptr);
    /// Closes all connections; callbacks of open calls are never called.
    ~peer_client() override;

    peer_call_id call(std::string_view node_name, std::string_view address, std::string_view path,
                      message_parts payload, peer_callback done) override;
    void cancel(peer_call_id id) override;

    /// Refuses new calls as not_sent, completes the open ones, sends GOAWAY, closes the connections and then calls
    /// back.
    void stop(std::function<void()> done);

    const peer_counters& counters() const;
    std::size_t open_connections() const;

private:
    class implementation;

    std::shared_ptr<implementation> m_implementation;
};

} // namespace mulberry
