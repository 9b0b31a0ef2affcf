#include "auto/app/sidecar/sidecarfleet.h"

#include "libs/base/log.h"

#include <utility>

#include <fmt/format.h>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t slots = 50;

host_configuration make_configuration()
{
    host_route route;
    route.name = "list";
    route.host = "shop.example";
    route.path_prefix = "/";
    route.services = {{"orders", 1}};
    route.idempotent = true;
    route.timeout = 2s;
    route.max_attempts = 3;
    host_configuration configuration;
    configuration.version = 1;
    configuration.routes = {route};
    configuration.services = {"orders"};
    configuration.organisations = {{"school", {"good"}, std::nullopt, 0, 0}};
    return configuration;
}

field_names make_fields()
{
    field_names fields;
    fields.credential_prefix = "Token ";
    fields.request_id = "Request-Id";
    fields.caller_sets_request_id = true;
    fields.forwards_host = true;
    return fields;
}

} // namespace

struct sidecar_fleet::fleet_node {
    sidecar_settings settings;
    std::unique_ptr<fake_upstream> upstream;
    std::int64_t upstream_runs = 1;
    std::uint64_t reports = 0;
    std::unique_ptr<node_timers> timers;
    std::unique_ptr<faulty_store> store;
    std::unique_ptr<call_transport> transport;
    std::unique_ptr<sidecar_node> running;
};

sidecar_fleet::sidecar_fleet(int nodes, std::uint64_t seed) : m_random(seed)
{
    set_log_level(log_level::off);
    for (int number = 1; number <= nodes; ++number) {
        auto entry = std::make_unique<fleet_node>();
        entry->settings.node_name = fmt::format("orders-{}", number);
        entry->settings.service = "orders";
        entry->settings.upstream_address = fmt::format("10.0.0.{}:80", number);
        entry->settings.peers = {fmt::format("10.0.0.{}", number), 7000};
        entry->settings.location =
            number % 2 == 0 ? node_location{"quay", "south"} : node_location{"curepipe", "north"};
        entry->upstream = std::make_unique<fake_upstream>(m_timers, m_random);
        entry->upstream->set_crash_trigger({[this](const http_request& request) {
                                                return crashing_requests.matches && crashing_requests.matches(request);
                                            },
                                            crashing_requests.delay, crashing_requests.downtime});
        entry->upstream->on_run([this](const http_request& request) {
            if (on_run)
                on_run(request);
        });
        entry->upstream->on_restart([this, each = entry.get()] {
            ++each->upstream_runs;
            report_upstream(*each);
        });
        m_nodes[entry->settings.node_name] = std::move(entry);
    }
    for (const auto& [name, entry] : m_nodes)
        start(name);
    run(10s); // beyond the time over which the load of new upstreams is increased
}

sidecar_fleet::~sidecar_fleet() = default;

void sidecar_fleet::report_upstream(fleet_node& entry)
{
    if (entry.running == nullptr)
        return;
    const std::string instance = fmt::format("i-{}", entry.upstream_runs);
    entry.running->upstream().report({instance, "orders", slots, false, ++entry.reports, entry.upstream_runs});
}

void sidecar_fleet::start(const std::string& name)
{
    fleet_node& entry = *m_nodes.at(name);
    entry.timers = std::make_unique<node_timers>(m_timers);
    entry.store = std::make_unique<faulty_store>(m_store, *entry.timers, m_random);
    entry.transport = m_calls.make_transport(name, *entry.timers);
    const sidecar_environment environment{
        *entry.timers,   m_random,         m_random,
        *entry.store,    *entry.transport, m_control.link(name),
        *entry.upstream, m_observer,       [this] { return std::optional(m_timers.now()); }};
    entry.running =
        std::make_unique<sidecar_node>(entry.settings, node_id{name, ++m_incarnations}, make_fields(), environment);
    m_control.attach(name, control_channel::quota, &entry.running->quotas());
    m_control.attach(name, control_channel::quarantine, &entry.running->quarantine());
    m_calls.attach(name, &entry.running->guard(), entry.timers.get());
    entry.running->start();
    entry.running->apply(make_configuration());
    entry.timers->schedule(300ms, [this, &entry] { report_upstream(entry); });
}

void sidecar_fleet::stop(const std::string& name)
{
    fleet_node& entry = *m_nodes.at(name);
    m_control.attach(name, control_channel::quota, nullptr);
    m_control.attach(name, control_channel::quarantine, nullptr);
    m_calls.attach(name, nullptr, nullptr);
    entry.running.reset();
    entry.transport.reset();
    entry.store.reset();
    entry.timers.reset();
}

std::vector<std::string> sidecar_fleet::names() const
{
    std::vector<std::string> result;
    for (const auto& [name, entry] : m_nodes)
        result.push_back(name);
    return result;
}

sidecar_node& sidecar_fleet::at(const std::string& name)
{
    return *m_nodes.at(name)->running;
}

fake_upstream& sidecar_fleet::upstream(const std::string& name)
{
    return *m_nodes.at(name)->upstream;
}

void sidecar_fleet::set_group(const std::string& name, int group)
{
    m_control.set_group(name, group);
    m_calls.set_group(name, group);
}

void sidecar_fleet::send(const std::string& name, caller_request request, entry_service::response_callback done)
{
    at(name).entry().handle(std::move(request), std::move(done));
}

} // namespace mulberry
