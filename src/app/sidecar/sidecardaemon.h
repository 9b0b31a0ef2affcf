#pragma once

#include "app/callerport/callerport.h"
#include "app/sidecar/configurationfollower.h"
#include "app/sidecar/decisionlogger.h"
#include "app/sidecar/platformadapter.h"
#include "app/sidecar/sidecarnode.h"
#include "app/transport/peertransport.h"
#include "libs/crypto/securerandomsource.h"
#include "libs/eventloop/asiotimerservice.h"
#include "libs/eventloop/eventloop.h"
#include "libs/http1/http1client.h"
#include "libs/http1/http1server.h"
#include "libs/peer/peerclient.h"
#include "libs/peer/peercontrollink.h"
#include "libs/peer/peerrouter.h"
#include "libs/peer/peerserver.h"
#include "libs/peer/plainsecurity.h"
#include "plugins/storerelay/relayedstore.h"
#include "plugins/storerelay/relayport.h"

#include <memory>

namespace mulberry {

enum class sidecar_error : std::uint8_t { cannot_listen };

std::string_view to_string(sidecar_error error);

/// Runs a sidecar_node in a process: owns its event loop timers, sockets, store client and metrics.
class sidecar_daemon final : private address_lookup {
public:
    sidecar_daemon(const sidecar_settings& settings, platform_adapter& platform, event_loop& loop);
    ~sidecar_daemon() override;

    /// Opens all listening sockets and joins the fleet. Fails with sidecar_error.
    leaf::result<void> start();
    /// Begins a planned stop. The event loop is stopped once it has finished.
    void stop();

private:
    class readiness_port;
    class announcement_port;
    class metrics_port;

    leaf::result<void> listen(http1_server& server, const network_endpoint& endpoint);
    std::optional<std::string> find_address(std::string_view node_name) const override;
    std::span<const member> known_members() const;
    void apply_configuration(host_configuration configuration);
    void finish_stop();
    void apply_limits(const host_limits& limits);
    duration view_age() const;

    sidecar_settings m_settings;
    event_loop& m_loop;
    asio_timer_service m_timers;
    secure_random_source m_secure_random;
    seeded_random_source m_random;
    daemon_metrics m_metrics;
    decision_logger m_observer;
    /// Limits what is held for callers, upstreams and other nodes. The store and control messages are not counted.
    std::shared_ptr<memory_budget> m_message_memory;
    http1_client m_store_http;
    http1_client m_upstream_http;
    std::unique_ptr<key_value_store> m_store;
    std::shared_ptr<plain_security> m_security;
    peer_client m_peers;
    peer_router m_router;
    peer_server m_peer_server;
    peer_control_link m_control;
    peer_transport m_transport;
    relayed_store m_relayed_store;
    relay_port m_relay_port;
    std::unique_ptr<configuration_follower> m_configuration;
    std::unique_ptr<sidecar_node> m_node;
    std::unique_ptr<call_handler> m_calls;
    std::unique_ptr<caller_port> m_caller_port;
    std::unique_ptr<readiness_port> m_readiness_port;
    std::unique_ptr<announcement_port> m_announcement_port;
    std::unique_ptr<metrics_port> m_metrics_port;
    std::unique_ptr<http1_server> m_callers;
    std::unique_ptr<http1_server> m_readiness;
    std::unique_ptr<http1_server> m_announcements;
    std::unique_ptr<http1_server> m_metrics_server;
    time_point m_stopping_since;
    std::size_t m_aborted_requests = 0;
};

} // namespace mulberry
