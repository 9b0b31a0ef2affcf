#pragma once

#include "app/metrics/daemonmetrics.h"
#include "app/mulberryd/httpfrontend.h"
#include "app/mulberryd/nullpeercaller.h"
#include "app/mulberryd/operatorapi.h"
#include "app/node/node.h"
#include "app/transport/peertransport.h"
#include "libs/crypto/securerandomsource.h"
#include "libs/documents/daemonsettings.h"
#include "libs/eventloop/asiotimerservice.h"
#include "libs/eventloop/eventloop.h"
#include "libs/http/curlhttpclient.h"
#include "libs/peer/peerclient.h"
#include "libs/peer/peerrouter.h"
#include "libs/peer/peerserver.h"
#include "libs/peer/tlsidentity.h"

#include <memory>
#include <optional>
#include <string>

namespace mulberry {

/// Errors that prevent a daemon from starting. The cause is logged where the error occurs.
enum class daemon_error : std::uint8_t { bad_tls_files, bad_credential_file, bad_document_file, cannot_listen };

std::string_view to_string(daemon_error error);

/// Ports on which the daemon listens; 0 for a port that is not open.
struct daemon_ports {
    std::uint16_t callers = 0;
    std::uint16_t nested = 0;
    std::uint16_t peers = 0;
    std::uint16_t operators = 0;
};

/// Runs a node in a process: owns its sockets, timers and store client. Used on the event loop's thread.
class daemon final : public address_lookup {
public:
    daemon(daemon_settings settings, event_loop& loop);
    ~daemon() override;

    /// Opens all listening sockets and joins the fleet. Fails with daemon_error.
    leaf::result<daemon_ports> start();

    /// Begins a planned stop. The event loop is stopped once it has finished. A second call aborts the remaining
    /// requests or has no effect, depending on the setting `second_signal`.
    void stop();

    std::optional<std::string> find_address(std::string_view node_name) const override;

private:
    leaf::result<void> load_identity();
    leaf::result<void> load_credential();
    /// Writes the documents from the settings' files to the store.
    leaf::result<void> load_documents();
    leaf::result<std::uint16_t> start_peers();
    /// Returns the peer client, or a substitute that fails all calls if there is no peer port.
    peer_caller& peers();
    leaf::result<std::uint16_t> start_port(std::unique_ptr<http1_server>& server, http1_handler& handler,
                                           const network_endpoint& endpoint);
    leaf::result<std::uint16_t> start_operators();
    void build_store();
    void build_node(std::uint16_t peer_port);
    void build_frontends();
    void close_servers();
    void close_peers();

    daemon_settings m_settings;
    event_loop& m_loop;
    asio_timer_service m_timers;
    seeded_random_source m_random;
    secure_random_source m_secure_random;
    /// Bearer credential of the operators' interface; empty if the interface is disabled.
    std::string m_credential;

    /// Identity, peer server and peer client exist only if a peer port is configured.
    std::optional<tls_identity> m_identity;
    null_peer_caller m_null_peer_caller{m_timers};
    peer_router m_router;
    std::unique_ptr<peer_server> m_peer_server;
    std::unique_ptr<peer_client> m_peers;
    std::unique_ptr<peer_control_link> m_control;
    std::unique_ptr<peer_transport> m_transport;
    /// Limits what is held for callers, the upstream and other nodes.
    std::shared_ptr<memory_budget> m_message_memory;
    std::unique_ptr<curl_http_client> m_upstream_http;
    std::unique_ptr<curl_http_client> m_store_http;
    std::unique_ptr<key_value_store> m_store;

    daemon_metrics m_metrics;
    decision_recorder m_recorder{m_metrics};
    std::unique_ptr<node> m_node;

    std::unique_ptr<call_handler> m_call_handler;
    std::unique_ptr<caller_port> m_caller_frontend;
    std::unique_ptr<caller_port> m_nested_frontend;
    std::unique_ptr<operator_api> m_operator_api;
    std::unique_ptr<http1_server> m_caller_server;
    std::unique_ptr<http1_server> m_nested_server;
    std::unique_ptr<http_server> m_operator_server;
};

} // namespace mulberry
