#include "app/mulberryd/daemon.h"

#include "libs/base/asyncerror.h"
#include "libs/base/log.h"
#include "libs/base/textfile.h"
#include "libs/store/etcdstore.h"
#include "libs/store/memorystore.h"

#include <chrono>
#include <random>
#include <utility>

namespace mulberry {

namespace {

// Maximum size of a request body on the callers' ports. Service documents may set a lower one for their routes.
constexpr std::size_t max_caller_body_bytes = std::size_t{1024} * 1024;
constexpr duration caller_idle_timeout = std::chrono::seconds(60);
// Time for which idle persistent connections stay open at the end of a planned stop, so that requests that were already
// sent still receive a response.
constexpr duration idle_connection_grace = std::chrono::milliseconds(500);

/// Returns the incarnation for this run: milliseconds since the Unix epoch. Nodes store nothing across restarts, so the
/// time of day orders the runs of a node name.
std::uint64_t new_incarnation()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

wall_time current_wall_time()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

http_server_settings operator_server_settings(const daemon_settings& settings)
{
    http_server_settings result;
    result.address = settings.operators_listen.address;
    result.port = settings.operators_listen.port;
    result.max_connections = settings.caller_connections;
    result.max_header_bytes = settings.header_cap_bytes;
    return result;
}

http1_limits caller_limits(const daemon_settings& settings)
{
    http1_limits limits;
    limits.max_header_bytes = settings.header_cap_bytes;
    limits.max_body_bytes = max_caller_body_bytes;
    limits.max_connections = settings.caller_connections;
    limits.idle_timeout = caller_idle_timeout;
    return limits;
}

peer_settings make_peer_settings()
{
    peer_settings settings;
    settings.metered_path = call_path;
    return settings;
}

/// Returns the port that a server listens on, or logs the error.
leaf::result<std::uint16_t> port_or_error(const leaf::result<std::uint16_t>& port, const network_endpoint& endpoint)
{
    if (port)
        return *port;
    log_error("daemon", "Cannot listen on {}.", to_string(endpoint));
    return leaf::new_error(daemon_error::cannot_listen);
}

} // namespace

std::string_view to_string(daemon_error error)
{
    switch (error) {
    case daemon_error::bad_tls_files:
        return "bad_tls_files";
    case daemon_error::bad_credential_file:
        return "bad_credential_file";
    case daemon_error::bad_document_file:
        return "bad_document_file";
    case daemon_error::cannot_listen:
        return "cannot_listen";
    }
    return "invalid";
}

daemon::daemon(daemon_settings settings, event_loop& loop)
    : m_settings(std::move(settings)), m_loop(loop), m_timers(loop), m_random(std::random_device{}()),
      m_message_memory(std::make_shared<memory_budget>(m_settings.message_memory_bytes))
{
}

daemon::~daemon() = default;

leaf::result<daemon_ports> daemon::start()
{
    BOOST_LEAF_CHECK(load_identity());
    BOOST_LEAF_CHECK(load_credential());
    daemon_ports ports;
    BOOST_LEAF_ASSIGN(ports.peers, start_peers());
    build_store();
    build_node(ports.peers);
    BOOST_LEAF_CHECK(load_documents());
    build_frontends();
    BOOST_LEAF_ASSIGN(ports.callers, start_port(m_caller_server, *m_caller_frontend, m_settings.callers_listen));
    BOOST_LEAF_ASSIGN(ports.nested, start_port(m_nested_server, *m_nested_frontend, m_settings.nested_listen));
    if (!m_credential.empty()) {
        BOOST_LEAF_ASSIGN(ports.operators, start_operators());
    }
    return ports;
}

peer_caller& daemon::peers()
{
    if (m_peers)
        return *m_peers;
    return m_null_peer_caller;
}

leaf::result<void> daemon::load_identity()
{
    if (m_settings.peers_listen.address.empty())
        return {};
    auto identity = tls_identity::load(
        {m_settings.peer_ca_file, m_settings.peer_certificate_file, m_settings.peer_private_key_file});
    if (!identity) {
        log_error("daemon", "Cannot load the certificate files of the peer port: {}.",
                  to_string(error_of<tls_error, void>(std::move(identity).error(), tls_error::bad_certificate)));
        return leaf::new_error(daemon_error::bad_tls_files);
    }
    if (identity->node_name() != m_settings.node_name) {
        log_error("daemon", "The peer certificate was issued for \"{}\", but the node name is \"{}\".",
                  identity->node_name(), m_settings.node_name);
        return leaf::new_error(daemon_error::bad_tls_files);
    }
    m_identity = std::move(*identity);
    return {};
}

leaf::result<void> daemon::load_credential()
{
    if (m_settings.operator_credential_file.empty())
        return {};
    auto text = read_text_file(m_settings.operator_credential_file);
    if (text)
        text->erase(text->find_last_not_of(" \t\r\n") + 1);
    if (!text || text->empty()) {
        log_error("daemon", "The operator credential file cannot be read or is empty.");
        return leaf::new_error(daemon_error::bad_credential_file);
    }
    m_credential = std::move(*text);
    return {};
}

leaf::result<std::uint16_t> daemon::start_peers()
{
    if (m_identity)
        m_peers = std::make_unique<peer_client>(m_loop, *m_identity, make_peer_settings(), m_message_memory);
    m_control = std::make_unique<peer_control_link>(peers(), *this);
    m_transport = std::make_unique<peer_transport>(m_timers, peers(), *this);
    m_router.add(std::string(peer_control_link::path_prefix), *m_control);
    if (!m_identity)
        return std::uint16_t{0};
    m_peer_server =
        std::make_unique<peer_server>(m_loop, *m_identity, m_router, make_peer_settings(), m_message_memory);
    auto port = m_peer_server->start(m_settings.peers_listen.address, m_settings.peers_listen.port);
    if (!port) {
        log_error("daemon", "Cannot listen for peers on {}.", to_string(m_settings.peers_listen));
        return leaf::new_error(daemon_error::cannot_listen);
    }
    return *port;
}

void daemon::build_store()
{
    curl_client_settings client;
    client.max_connections_per_host = m_settings.upstream_connections;
    m_upstream_http = std::make_unique<curl_http_client>(m_loop, client, m_message_memory);
    m_store_http = std::make_unique<curl_http_client>(m_loop);
    if (m_settings.store_in_memory) {
        m_store = std::make_unique<memory_store>(m_timers);
        return;
    }
    m_store = std::make_unique<etcd_store>(*m_store_http, m_timers,
                                           etcd_store_settings{m_settings.store_endpoints, m_settings.store_timeout});
}

leaf::result<void> daemon::load_documents()
{
    for (const std::string& path : m_settings.document_files) {
        const auto text = read_text_file(path);
        const auto key = text ? document_key_of(*text) : std::nullopt;
        if (!key) {
            log_error("daemon", "{} cannot be read or is not a valid document; run mulberryctl check for details.",
                      path);
            return leaf::new_error(daemon_error::bad_document_file);
        }
        m_store->put_if(*key, 0, *text, 0, [path](leaf::result<put_result> result) {
            if (!result || !result->applied)
                log_warning("daemon", "The document from {} was not written to the store.", path);
        });
    }
    return {};
}

void daemon::build_node(std::uint16_t peer_port)
{
    network_endpoint advertised = m_settings.peers_advertised;
    if (advertised.address.empty())
        advertised.address = m_settings.peers_listen.address;
    if (advertised.port == 0)
        advertised.port = peer_port;
    node_settings settings;
    settings.self = {m_settings.node_name, new_incarnation()};
    settings.location = {m_settings.failure_domain, m_settings.region};
    settings.service = m_settings.service;
    settings.upstream_url = m_settings.upstream_url;
    settings.address = to_string(advertised);
    for (const daemon_seed& seed : m_settings.seeds)
        settings.seeds.push_back({seed.node_name, to_string(seed.endpoint)});
    settings.failure_domains = m_settings.failure_domains;
    settings.account_memory_bytes = m_settings.account_memory_bytes;
    settings.idempotency_memory_bytes = m_settings.idempotency_memory_bytes;
    settings.drain.limit = m_settings.drain_limit;
    m_node = std::make_unique<node>(std::move(settings),
                                    node_environment{m_timers, m_random, m_secure_random, *m_control, *m_store,
                                                     *m_transport, *m_upstream_http, m_recorder, &current_wall_time});
    m_node->members().on_superseded([this](std::uint64_t incarnation) {
        log_error("daemon", "Another daemon uses the node name {} with the newer incarnation {}; stopping this one.",
                  m_settings.node_name, incarnation);
        stop();
    });
    for (const control_channel channel :
         {control_channel::membership, control_channel::configuration, control_channel::shares,
          control_channel::account, control_channel::quarantine})
        m_control->attach(channel, &m_node->handler(channel));
}

void daemon::build_frontends()
{
    m_call_handler = std::make_unique<call_handler>(m_node->guard());
    m_router.add(std::string(call_path), *m_call_handler);
    m_caller_frontend = make_caller_frontend(*m_node);
    m_nested_frontend = make_nested_frontend(*m_node);
    m_operator_api = std::make_unique<operator_api>(
        operator_dependencies{*m_node, *m_control, peers(), *this, m_metrics, *m_message_memory, [this] { stop(); }},
        m_credential);
    m_router.add(std::string(document_write_path), *m_operator_api);
}

leaf::result<std::uint16_t> daemon::start_port(std::unique_ptr<http1_server>& server, http1_handler& handler,
                                               const network_endpoint& endpoint)
{
    server = std::make_unique<http1_server>(m_loop, handler, caller_limits(m_settings), m_message_memory);
    return port_or_error(server->start(endpoint.address, endpoint.port), endpoint);
}

leaf::result<std::uint16_t> daemon::start_operators()
{
    m_operator_server = std::make_unique<http_server>(m_loop, *m_operator_api, operator_server_settings(m_settings));
    return port_or_error(m_operator_server->start(), m_settings.operators_listen);
}

std::optional<std::string> daemon::find_address(std::string_view node_name) const
{
    return m_node ? m_node->members().address_of(node_name) : std::nullopt;
}

void daemon::stop()
{
    if (m_node->drain_control().draining()) {
        if (m_settings.second_signal == second_signal_action::cut)
            m_node->drain_control().expedite();
        return;
    }
    m_caller_server->stop_accepting();
    m_node->drain([this](std::size_t) { m_timers.schedule(idle_connection_grace, [this] { close_servers(); }); });
}

void daemon::close_servers()
{
    m_caller_server->stop([this] {
        m_nested_server->stop([this] {
            if (!m_operator_server)
                return close_peers();
            m_operator_server->stop([this] { close_peers(); });
        });
    });
}

void daemon::close_peers()
{
    const auto finish = [this] {
        log_info("daemon", "Node {} has stopped.", m_settings.node_name);
        m_loop.stop();
    };
    if (!m_identity)
        return finish();
    m_peer_server->stop([this, finish] { m_peers->stop(finish); });
}

} // namespace mulberry
