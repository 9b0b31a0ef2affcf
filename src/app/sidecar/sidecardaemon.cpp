#include "app/sidecar/sidecardaemon.h"

#include "libs/base/log.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "daemon";
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
// Share of the memory limit for messages that are received, wait or have not been read. The rest is for the program,
// its connections and its tables. A message of 64 MiB fits on a VM of 160 MiB.
constexpr double message_memory_share = 0.5625;
constexpr std::size_t max_peer_message_bytes = std::size_t{68} * 1024 * 1024;
// Announced bytes are not limited, because those that arrive count against the memory for messages.
constexpr std::size_t unlimited_bytes = std::numeric_limits<std::size_t>::max() / 2;
// The descriptor limit is divided by this number to obtain the limit for callers' connections. The rest is needed for
// the upstream, other daemons and the store.
constexpr std::size_t caller_descriptor_divisor = 2;
// Share of the descriptor limit for connections of other daemons.
constexpr std::size_t peer_descriptor_divisor = 4;
// Share of the descriptor limit for each port that only the platform and the upstream beside this process use.
constexpr std::size_t local_descriptor_divisor = 32;
constexpr std::size_t min_local_connections = 8;
constexpr std::size_t max_local_connections = 64;
// Limits of these ports.
constexpr std::size_t max_local_body_bytes = std::size_t{64} * 1024;
constexpr std::size_t max_local_buffered_bytes = std::size_t{1024} * 1024;
// How often a planned stop checks whether all work has finished.
constexpr duration stop_poll_period = std::chrono::milliseconds(20);

/// Milliseconds since the Unix epoch. Used as the incarnation, so that later runs of a node have higher numbers.
std::uint64_t start_time_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::shared_ptr<memory_budget> make_message_memory(const sidecar_settings& settings)
{
    const double bytes = static_cast<double>(settings.memory_limit_bytes) * message_memory_share;
    return std::make_shared<memory_budget>(static_cast<std::size_t>(bytes));
}

http1_client_settings upstream_client_settings(const sidecar_settings& daemon_settings)
{
    http1_client_settings settings;
    settings.max_receiving_bytes = daemon_settings.memory_limit_bytes;
    return settings;
}

http1_client_settings store_client_settings()
{
    http1_client_settings settings;
    settings.idle_timeout = std::chrono::seconds(10);
    settings.unrepeatable_idle_limit = std::chrono::seconds(10);
    return settings;
}

/// The copy of the configuration must be fresh, because keys are accepted only while it is; nothing depends on the age
/// of the list of nodes.
relayed_store_settings make_relay_settings(const platform_adapter& platform)
{
    relayed_watch_settings configuration;
    configuration.poll_wait = std::chrono::milliseconds(500);
    configuration.max_age = std::chrono::milliseconds(1900);
    relayed_store_settings settings;
    settings.prefixes.emplace(platform.configuration_key(), configuration);
    settings.prefixes.emplace(registry_settings{}.prefix, relayed_watch_settings{});
    return settings;
}

peer_settings make_peer_settings(const sidecar_settings& daemon_settings)
{
    peer_settings settings;
    settings.max_connections = daemon_settings.descriptor_limit / peer_descriptor_divisor;
    settings.max_message_bytes = max_peer_message_bytes;
    settings.max_receiving_bytes = unlimited_bytes;
    settings.metered_path = call_path;
    settings.ping_after = std::chrono::milliseconds(700);
    settings.connect_timeout = std::chrono::milliseconds(700);
    return settings;
}

http1_limits local_limits(const sidecar_settings& settings)
{
    http1_limits limits;
    limits.max_connections =
        std::clamp(settings.descriptor_limit / local_descriptor_divisor, min_local_connections, max_local_connections);
    limits.max_body_bytes = max_local_body_bytes;
    limits.max_buffered_body_bytes = max_local_buffered_bytes;
    return limits;
}

} // namespace

std::string_view to_string(sidecar_error error)
{
    switch (error) {
    case sidecar_error::cannot_listen:
        return "cannot listen on an address";
    }
    return "invalid";
}

class sidecar_daemon::readiness_port final : public http1_handler {
public:
    readiness_port(sidecar_node& node, platform_adapter& platform) : m_node(node), m_platform(platform) {}

    void on_request(http1_request_id /*id*/, http1_request request, response_callback done) override
    {
        if (!m_platform.is_readiness_request(request))
            return done({status_not_found, {}, {}});
        const bool ready = m_node.ready();
        if (ready != std::exchange(m_was_ready, ready))
            log_info(log_part, "Readiness changed to {}.", ready);
        done({ready ? status_ok : status_unavailable, {}, {}});
    }

    void on_caller_gone(http1_request_id /*id*/) override {}

private:
    sidecar_node& m_node;
    platform_adapter& m_platform;
    bool m_was_ready = false;
};

class sidecar_daemon::announcement_port final : public http1_handler {
public:
    announcement_port(sidecar_node& node, platform_adapter& platform) : m_node(node), m_platform(platform) {}

    void on_request(http1_request_id /*id*/, http1_request request, response_callback done) override
    {
        done(m_platform.on_announcement(request, m_node.upstream()));
    }

    void on_caller_gone(http1_request_id /*id*/) override {}

private:
    sidecar_node& m_node;
    platform_adapter& m_platform;
};

class sidecar_daemon::metrics_port final : public http1_handler {
public:
    metrics_port(const sidecar_node& node, const memory_budget& message_memory, daemon_metrics& metrics)
        : m_node(node), m_message_memory(message_memory), m_metrics(metrics)
    {
    }

    void on_request(http1_request_id /*id*/, http1_request /*request*/, response_callback done) override
    {
        update_gauges();
        done({status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.text()});
    }

    void on_caller_gone(http1_request_id /*id*/) override {}

private:
    void update_gauges()
    {
        const guard_service& guard = m_node.guard();
        m_metrics.set_gauge("mulberry_upstream_running", "Requests that run at this node's upstream.",
                            static_cast<double>(guard.admission().running()));
        m_metrics.set_gauge("mulberry_upstream_waiting", "Requests that wait for this node's upstream.",
                            static_cast<double>(guard.admission().waiting()));
        m_metrics.set_gauge("mulberry_upstream_crashes", "Crashes of this node's upstream since this node started.",
                            static_cast<double>(guard.upstream_crashes()));
        m_metrics.set_gauge("mulberry_quarantined_requests", "Requests that are refused because they crash upstreams.",
                            static_cast<double>(m_node.quarantine().quarantined()));
        m_metrics.set_gauge("mulberry_upstream_rate_limit",
                            "Requests per second that this node's upstream accepts; -1 if it names no limit.",
                            guard.upstream_rate_limit().value_or(-1));
        m_metrics.set_message_memory(m_message_memory);
    }

    const sidecar_node& m_node;
    const memory_budget& m_message_memory;
    daemon_metrics& m_metrics;
};

sidecar_daemon::sidecar_daemon(const sidecar_settings& settings, platform_adapter& platform, event_loop& loop)
    : m_settings(settings), m_loop(loop), m_timers(loop), m_random(m_secure_random.next()),
      m_observer(m_metrics, [this] { return view_age(); }), m_message_memory(make_message_memory(settings)),
      m_store_http(loop, m_timers, store_client_settings()),
      m_upstream_http(loop, m_timers, upstream_client_settings(settings), m_message_memory),
      m_store(platform.make_store(m_store_http, m_timers)),
      m_security(std::make_shared<plain_security>(settings.node_name)),
      m_peers(loop, m_security, make_peer_settings(settings), m_message_memory),
      m_peer_server(loop, m_security, m_router, make_peer_settings(settings), m_message_memory),
      m_control(m_peers, *this), m_transport(m_timers, m_peers, *this),
      m_relayed_store(make_relay_settings(platform), settings.node_name, settings.location, *m_store, m_peers, *this,
                      m_timers, m_random, [this] { return known_members(); }),
      m_relay_port(m_relayed_store, m_timers)
{
    m_configuration = std::make_unique<configuration_follower>(
        m_timers, m_random, m_relayed_store, platform,
        [this](host_configuration configuration) { apply_configuration(std::move(configuration)); });
    const sidecar_environment environment{
        m_timers,        m_random,    m_secure_random,
        m_relayed_store, m_transport, m_control,
        m_upstream_http, m_observer,  [this] { return m_configuration->confirmed_until(); }};
    m_node = std::make_unique<sidecar_node>(m_settings, node_id{m_settings.node_name, start_time_ms()},
                                            platform.fields(), environment);
    m_node->registry().on_secret([this](const std::string& secret) { m_security->set_secret(secret); });
    m_control.attach(control_channel::quota, &m_node->quotas());
    m_control.attach(control_channel::quarantine, &m_node->quarantine());
    m_calls = std::make_unique<call_handler>(m_node->guard());
    m_router.add(std::string(call_path), *m_calls);
    m_router.add(std::string(peer_control_link::path_prefix), m_control);
    m_router.add(std::string(relay_path), m_relay_port);
    entry_service& entry = m_node->entry();
    m_caller_port =
        std::make_unique<caller_port>(entry, [&entry](caller_request request, entry_service::response_callback done) {
            return entry.handle(std::move(request), std::move(done));
        });
    m_readiness_port = std::make_unique<readiness_port>(*m_node, platform);
    m_announcement_port = std::make_unique<announcement_port>(*m_node, platform);
    m_metrics_port = std::make_unique<metrics_port>(*m_node, *m_message_memory, m_metrics);
    m_callers = std::make_unique<http1_server>(loop, *m_caller_port, http1_limits{}, m_message_memory);
    m_readiness = std::make_unique<http1_server>(loop, *m_readiness_port, local_limits(settings));
    m_announcements = std::make_unique<http1_server>(loop, *m_announcement_port, local_limits(settings));
    m_metrics_server = std::make_unique<http1_server>(loop, *m_metrics_port, local_limits(settings));
    apply_limits({});
}

sidecar_daemon::~sidecar_daemon() = default;

leaf::result<void> sidecar_daemon::listen(http1_server& server, const network_endpoint& endpoint)
{
    if (endpoint.port == 0)
        return {};
    if (server.start(endpoint.address, endpoint.port))
        return {};
    log_error(log_part, "Cannot listen on {}.", to_string(endpoint));
    return leaf::new_error(sidecar_error::cannot_listen);
}

leaf::result<void> sidecar_daemon::start()
{
    log_info(log_part, "Starting node {} of service {} in failure domain {}.", m_settings.node_name, m_settings.service,
             m_settings.location.failure_domain);
    BOOST_LEAF_CHECK(listen(*m_announcements, m_settings.announcements));
    BOOST_LEAF_CHECK(listen(*m_readiness, m_settings.readiness));
    BOOST_LEAF_CHECK(listen(*m_callers, m_settings.callers));
    BOOST_LEAF_CHECK(listen(*m_metrics_server, m_settings.metrics));
    if (!m_peer_server.start(m_settings.peers.address, m_settings.peers.port))
        return leaf::new_error(sidecar_error::cannot_listen);
    m_configuration->start();
    m_node->start();
    return {};
}

void sidecar_daemon::stop()
{
    if (m_node->draining())
        return;
    log_info(log_part, "Planned stop begins with {} requests and {} calls in progress.", m_node->entry().in_progress(),
             m_node->guard().in_progress());
    m_stopping_since = m_timers.now();
    m_callers->begin_closing();
    m_node->drain([this](std::size_t aborted_requests) {
        m_aborted_requests = aborted_requests;
        // Callers may have sent requests after the last check for idleness, so connections are closed before
        // finish_stop() checks again.
        m_callers->finish();
        finish_stop();
    });
}

void sidecar_daemon::finish_stop()
{
    const bool busy =
        m_node->entry().in_progress() > 0 || m_node->guard().in_progress() > 0 || m_callers->open_connections() > 0;
    if (busy && m_timers.now() - m_stopping_since < m_settings.stop_limit) {
        m_timers.schedule(stop_poll_period, [this] { finish_stop(); });
        return;
    }
    log_info(log_part, "Planned stop complete; {} requests were aborted.", m_aborted_requests);
    m_loop.stop();
}

std::optional<std::string> sidecar_daemon::find_address(std::string_view node_name) const
{
    const member* node = m_node->registry().find(node_name);
    if (node == nullptr)
        return std::nullopt;
    return node->address;
}

std::span<const member> sidecar_daemon::known_members() const
{
    if (m_node == nullptr)
        return {};
    return m_node->registry().members();
}

void sidecar_daemon::apply_configuration(host_configuration configuration)
{
    const host_limits limits = configuration.limits;
    if (m_node->apply(std::move(configuration)))
        apply_limits(limits);
}

void sidecar_daemon::apply_limits(const host_limits& limits)
{
    http1_limits callers;
    callers.max_header_bytes = limits.max_header_bytes;
    callers.max_body_bytes = limits.max_body_bytes;
    callers.header_timeout = limits.header_timeout;
    callers.idle_timeout = limits.idle_timeout;
    callers.max_buffered_body_bytes = m_settings.memory_limit_bytes;
    callers.max_connections = m_settings.descriptor_limit / caller_descriptor_divisor;
    m_callers->set_limits(callers);
}

duration sidecar_daemon::view_age() const
{
    const auto confirmed = m_configuration->confirmed_until();
    return confirmed ? m_timers.now() - *confirmed : duration{0};
}

} // namespace mulberry
