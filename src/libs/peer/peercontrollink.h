#pragma once

#include "libs/base/controllink.h"
#include "libs/peer/peercaller.h"
#include "libs/peer/peerhandler.h"

#include <map>
#include <optional>

namespace mulberry {

/// Finds where a node listens for its peers.
class address_lookup {
public:
    address_lookup() = default;
    address_lookup(const address_lookup&) = delete;
    address_lookup& operator=(const address_lookup&) = delete;
    virtual ~address_lookup() = default;

    /// "host:port", or empty if the node is unknown.
    virtual std::optional<std::string> find_address(std::string_view node_name) const = 0;
};

/// Control traffic of one channel since the start. Bytes are payload bytes.
struct control_traffic {
    std::uint64_t sent_messages = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_messages = 0;
    std::uint64_t received_bytes = 0;
    /// Messages whose delivery failed or stayed unknown.
    std::uint64_t failed_messages = 0;
};

/// Control messages as peer calls to the path "/control/<channel>". Each message is answered with an empty payload
/// once the channel's handler has taken it.
class peer_control_link final : public control_link, public peer_handler {
public:
    peer_control_link(peer_caller& caller, const address_lookup& addresses) : m_caller(caller), m_addresses(addresses)
    {
    }

    /// Prefix to add to the peer router.
    static constexpr std::string_view path_prefix = "/control/";

    /// Sets the receiver of a channel; a null pointer removes it. Messages without a receiver are rejected.
    void attach(control_channel channel, control_handler* handler);

    void send(std::string_view node_name, control_channel channel, std::string payload) override;
    void on_call(peer_request request, std::shared_ptr<peer_responder> responder) override;

    control_traffic traffic(control_channel channel) const;

private:
    peer_caller& m_caller;
    const address_lookup& m_addresses;
    std::map<control_channel, control_handler*> m_handlers;
    std::map<control_channel, std::shared_ptr<control_traffic>> m_traffic;
};

} // namespace mulberry
