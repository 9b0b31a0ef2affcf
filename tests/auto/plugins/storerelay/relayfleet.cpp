#include "auto/plugins/storerelay/relayfleet.h"

#include "libs/base/asyncerror.h"
#include "libs/base/log.h"

#include <algorithm>
#include <utility>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

constexpr duration network_latency = 1ms;
constexpr duration step = 20ms;

relayed_store_settings make_settings()
{
    relayed_watch_settings configuration;
    configuration.poll_wait = 500ms;
    configuration.max_age = 1900ms;
    relayed_store_settings settings;
    settings.prefixes.emplace(relay_fleet::configuration_key, configuration);
    settings.prefixes.emplace(registry_settings{}.prefix, relayed_watch_settings{});
    return settings;
}

member make_member(const std::string& name, const std::string& domain, std::uint64_t incarnation)
{
    member self;
    self.id = {name, incarnation};
    self.service = "orders";
    self.address = "10.0.0.1:7000";
    self.location = {domain, "south"};
    self.state = member_state::serving;
    return self;
}

/// Passes the response of one call back to the caller.
class fake_responder final : public peer_responder {
public:
    explicit fake_responder(peer_callback done) : m_done(std::move(done)) {}
    ~fake_responder() override
    {
        if (m_done)
            m_done(captured_error<message_body>(peer_error::connection_lost));
    }

    void respond(message_parts payload) override
    {
        if (const auto done = std::exchange(m_done, nullptr))
            done(message_body(payload.joined()));
    }
    void reject() override
    {
        if (const auto done = std::exchange(m_done, nullptr))
            done(captured_error<message_body>(peer_error::rejected));
    }
    void on_cancelled(std::function<void()> /*callback*/) override {}

private:
    peer_callback m_done;
};

} // namespace

relay_node::relay_node(relay_fleet& fleet, const std::string& name, const std::string& domain,
                       std::uint64_t incarnation)
    : m_fleet(fleet), m_name(name), m_timers(fleet.timers), m_connection(fleet.store, m_timers, fleet.random),
      m_store(make_settings(), name, {domain, "south"}, m_connection, *this, *this, m_timers, fleet.random,
              [this] { return m_registry.members(); }),
      m_port(m_store, m_timers), m_registry(registry_settings{}, make_member(name, domain, incarnation), m_timers,
                                            fleet.random, fleet.random, m_store),
      m_configuration(m_timers, fleet.random, m_store, std::string(relay_fleet::configuration_key), *this)
{
    m_configuration.start();
    m_registry.start();
}

relay_node::~relay_node() = default;

duration relay_node::view_age() const
{
    const auto confirmed = confirmed_until();
    return confirmed ? m_timers.now() - *confirmed : duration::max();
}

void relay_node::on_snapshot(std::span<const store_entry> entries, std::int64_t /*revision*/)
{
    for (const store_entry& entry : entries)
        apply(entry);
}

void relay_node::on_changes(std::span<const watch_event> events)
{
    for (const watch_event& event : events)
        apply(event.entry);
}

void relay_node::apply(const store_entry& entry)
{
    m_version = std::max(m_version, std::stoi(entry.value));
}

std::optional<std::string> relay_node::find_address(std::string_view node_name) const
{
    return std::string(node_name);
}

peer_call_id relay_node::call(std::string_view node_name, std::string_view /*address*/, std::string_view path,
                              message_parts payload, peer_callback done)
{
    const peer_call_id id = ++m_last_call;
    m_calls.emplace(id, std::move(done));
    const peer_callback respond = m_timers.wrap_callback(
        peer_callback([this, id](leaf::result<message_body> result) { finish(id, std::move(result)); }));
    relay_fleet& fleet = m_fleet;
    const std::string target(node_name);
    const peer_request request{m_name, std::string(path), message_body(payload.joined())};
    fleet.timers.schedule(network_latency, [&fleet, target, request, respond] {
        const auto found = fleet.nodes.find(target);
        if (fleet.is_cut(request.sender_name, target))
            return;
        if (found == fleet.nodes.end())
            return respond(captured_error<message_body>(peer_error::not_sent));
        const std::string sender = request.sender_name;
        auto responder = std::make_shared<fake_responder>([&fleet, sender, target, respond](auto result) {
            auto stored = std::make_shared<leaf::result<message_body>>(std::move(result));
            fleet.timers.schedule(network_latency, [&fleet, sender, target, respond, stored] {
                if (!fleet.is_cut(sender, target))
                    respond(std::move(*stored));
            });
        });
        relay_node& node = *found->second;
        const auto deliver = node.timers().wrap_callback(std::function<void(std::shared_ptr<peer_responder>)>(
            [&node, request](std::shared_ptr<peer_responder> to) { node.port().on_call(request, std::move(to)); }));
        deliver(std::move(responder));
    });
    return id;
}

void relay_node::finish(peer_call_id id, leaf::result<message_body> result)
{
    auto found = m_calls.extract(id);
    if (!found.empty())
        found.mapped()(std::move(result));
}

void relay_node::cancel(peer_call_id id)
{
    m_calls.erase(id);
}

void relay_fleet::start(const std::string& name, const std::string& domain)
{
    nodes[name] = std::make_unique<relay_node>(*this, name, domain, ++m_last_incarnation);
}

void relay_fleet::change_configuration()
{
    ++version;
    store.get(configuration_key, [this, next = version](leaf::result<range_result> current) {
        const std::int64_t revision = current->entries.empty() ? 0 : current->entries.front().mod_revision;
        store.put_if(configuration_key, revision, std::to_string(next), 0, [](const leaf::result<put_result>&) {});
    });
    timers.run_due();
    m_changes.push_back({timers.now(), version});
}

bool relay_fleet::is_cut(const std::string& from, const std::string& to) const
{
    const auto is_isolated = [this](const std::string& name) {
        return std::ranges::find(isolated, name) != isolated.end();
    };
    return is_isolated(from) || is_isolated(to);
}

bool relay_fleet::run(duration length)
{
    const time_point end = timers.now() + length;
    while (timers.now() < end) {
        timers.advance(step);
        for (const auto& [name, node] : nodes) {
            const auto confirmed = node->confirmed_until();
            for (const change& each : m_changes) {
                if (confirmed && each.at < *confirmed && each.version > node->version()) {
                    log_error("fleet", "{} has version {} and claims a view of {} us, after version {} of {} us.", name,
                              node->version(), confirmed->time_since_epoch().count(), each.version,
                              each.at.time_since_epoch().count());
                    return false;
                }
            }
        }
    }
    return true;
}

std::size_t relay_fleet::nodes_that_read_the_store() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(nodes, [](const auto& entry) { return entry.second->reads_store(); }));
}

duration relay_fleet::max_view_age() const
{
    duration age{0};
    for (const auto& [name, node] : nodes)
        age = std::max(age, node->view_age());
    return age;
}

} // namespace mulberry
