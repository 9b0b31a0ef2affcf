#pragma once

#include "app/metrics/daemonmetrics.h"
#include "app/node/node.h"
#include "libs/http/httpserver.h"
#include "libs/peer/peercontrollink.h"
#include "libs/peer/peerhandler.h"

#include <functional>
#include <string>
#include <vector>

namespace mulberry {

/// Components that the operators' interface reads or controls. All of them outlive the interface.
struct operator_dependencies {
    node& owner;
    const peer_control_link& control;
    peer_caller& peers;
    const address_lookup& addresses;
    daemon_metrics& metrics;
    const memory_budget& message_memory;
    std::function<void()> begin_drain;
};

/// Path in the peer protocol for operators' writes that a node forwards to a watcher.
inline constexpr std::string_view document_write_path = "/documents/write";

/// HTTP interface for operators: status, documents, confirmations, drain, explanations and metrics. Every request must
/// carry the operators' bearer credential.
class operator_api final : public http_handler, public peer_handler {
public:
    operator_api(operator_dependencies dependencies, std::string credential);

    void on_request(http_server_request request, std::shared_ptr<http_responder> responder) override;

    /// Handles a document write that another node forwarded to this node as a watcher.
    void on_call(peer_request request, std::shared_ptr<peer_responder> responder) override;

private:
    using responder_ptr = std::shared_ptr<http_responder>;

    bool is_authorised(const http_server_request& request) const;
    void route_get(const http_server_request& request, const responder_ptr& responder);
    void get_document(std::string_view key, const responder_ptr& responder) const;
    void write_document(const http_server_request& request, std::string_view key, const responder_ptr& responder);
    /// Forwards a write to one of the watchers. Tries another one only if the write was certainly not processed.
    void forward_write(const write_request& write, std::vector<std::string> watchers, const responder_ptr& responder);
    void get_confirmations(std::string_view query, const responder_ptr& responder) const;
    void get_explanation(std::string_view request_id, const responder_ptr& responder);
    void get_metrics(const responder_ptr& responder);
    /// Sets all gauges to their current values.
    void update_gauges();

    operator_dependencies m_dependencies;
    std::string m_credential;
};

} // namespace mulberry
