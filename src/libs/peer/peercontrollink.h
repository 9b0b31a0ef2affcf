#pragma once

#include "libs/base/controllink.h"
#include "libs/peer/peercaller.h"
#include "libs/peer/peerhandler.h"

#include <map>
#include <optional>

namespace mulberry {

/// Looks up the addresses at which nodes listen for their peers.
class address_lookup {
public:
    address_lookup() = default;
    address_lookup(const address_lookup&) = delete;
    address_lookup& operator=(const address_lookup&) = delete;
    virtual ~address_lookup() = default;

    /// Returns "host:port", or no value if the node is unknown.
    virtual std::optional<std::string> find_address(std::string_view node_name) const = 0;
};

/// Control traffic of one channel since the start. The byte counts are of payload bytes.
struct control_traffic {
    std::uint64_t sent_messages = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_messages = 0;
    std::uint64_t received_bytes = 0;
    /// Messages whose delivery failed or is unknown.
    std::uint64_t failed_messages = 0;
};

/// Sends control messages as peer calls to the path "/control/<channel>". The response to a message has an empty
/// payload and is sent once the channel's handler has processed the message.
class peer_control_link final : public control_link, public peer_handler {
public:
    peer_control_link(peer_caller& caller, const address_lookup& addresses) : m_caller(caller), m_addresses(addresses)
    {
    }

    /// Path prefix under which the link is registered with the peer router.
    static constexpr std::string_view path_prefix = "/control/";

    /// Sets the handler of a channel; a null pointer removes it. Messages on a channel without a handler are rejected.
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
