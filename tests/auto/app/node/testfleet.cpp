#include "auto/app/node/testfleet.h"

#include "libs/base/log.h"

#include <utility>

#include <fmt/format.h>

namespace mulberry {

namespace {

constexpr std::string_view orders_document = R"(
service = "orders"
slots = {slots}
queue_limit = 40
total_attempts = 3
body_cap = "64KiB"

[[routes]]
name = "place"
method = "POST"
path = "/place"
importance = "critical"
idempotent = false
deadline = "2s"

[[routes]]
name = "look"
method = "GET"
path = "/look/**"
importance = "normal"
idempotent = true
deadline = "1s"

[[routes]]
name = "hours"
method = "GET"
path = "/hours"
importance = "background"
open = true
idempotent = true
deadline = "1s"
)";

constexpr std::string_view stores_document = R"(
service = "stores"
slots = {slots}
queue_limit = 40
total_attempts = 3
body_cap = "64KiB"

[[routes]]
name = "reserve"
method = "POST"
path = "/reserve"
importance = "critical"
idempotent = false
deadline = "1s"
calling_services = ["orders"]

[[routes]]
name = "count"
method = "GET"
path = "/count"
importance = "normal"
idempotent = true
deadline = "1s"
)";

// Midnight UTC of 1 January 2027: the time of day at the start of the virtual time.
constexpr wall_time wall_start{std::chrono::milliseconds(1'798'761'600'000)};

std::string insert_slots(std::string_view text, std::uint32_t slots)
{
    std::string filled(text);
    const std::string_view placeholder = "{slots}";
    filled.replace(filled.find(placeholder), placeholder.size(), fmt::to_string(slots));
    return filled;
}

} // namespace

struct test_fleet::fleet_node {
    node_settings settings;
    duration service_time{0};
    std::unique_ptr<node_timers> timers;
    std::unique_ptr<faulty_store> store;
    std::unique_ptr<call_transport> transport;
    std::unique_ptr<fake_upstream> upstream;
    std::unique_ptr<node> running;
};

test_fleet::test_fleet(const fleet_plan& plan, std::uint64_t seed) : m_random(seed)
{
    set_log_level(log_level::off);
    write(service_document_key("orders"), insert_slots(orders_document, plan.slots));
    write(service_document_key("stores"), insert_slots(stores_document, plan.slots));
    for (const node_location& location : plan.domains)
        m_domains.push_back(location.failure_domain);
    for (const node_location& location : plan.domains) {
        for (const std::string& service : plan.services) {
            for (int number = 1; number <= plan.nodes_per_service_and_domain; ++number)
                add_node(service, location, number, plan);
        }
    }
    for (const auto& [name, entry] : m_nodes)
        start(name);
}

test_fleet::~test_fleet() = default;

void test_fleet::add_node(const std::string& service, const node_location& location, int number, const fleet_plan& plan)
{
    const std::string name = fmt::format("{}-{}-{}", service, location.failure_domain, number);
    auto entry = std::make_unique<fleet_node>();
    entry->settings.self.name = name;
    entry->settings.location = location;
    entry->settings.service = service;
    entry->settings.upstream_url = "http://upstream";
    entry->settings.address = name + ":1";
    entry->settings.failure_domains = m_domains;
    if (!m_nodes.empty()) {
        const std::string seed = m_nodes.begin()->first;
        entry->settings.seeds.push_back({seed, seed + ":1"});
        m_nodes.begin()->second->settings.seeds = {{name, name + ":1"}};
    }
    entry->service_time = plan.service_time;
    m_nodes[name] = std::move(entry);
}

void test_fleet::start(const std::string& name)
{
    fleet_node& entry = *m_nodes.at(name);
    entry.settings.self.incarnation = ++m_incarnations;
    entry.timers = std::make_unique<node_timers>(m_timers);
    entry.store = std::make_unique<faulty_store>(m_store, *entry.timers, m_random);
    entry.transport = m_calls.make_transport(name, *entry.timers);
    entry.upstream = std::make_unique<fake_upstream>(*entry.timers, m_random);
    entry.upstream->set_faults({.service_time = entry.service_time});
    entry.upstream->set_crash_trigger({[this](const http_request& request) {
                                           return crashing_requests.matches && crashing_requests.matches(request);
                                       },
                                       crashing_requests.delay, crashing_requests.downtime});
    entry.upstream->on_run([this, service = entry.settings.service](const http_request& request) {
        ++m_runs[{service, std::string(request.body)}];
        if (on_run)
            on_run(service, request);
    });
    if (entry.settings.service == "orders") {
        entry.upstream->set_nested_call([this, &entry](const http_request& request, std::function<void()> done) {
            make_nested_call(entry, request, done);
        });
    }
    entry.running = std::make_unique<node>(
        entry.settings, node_environment{*entry.timers, m_random, m_random, m_control.link(name), *entry.store,
                                         *entry.transport, *entry.upstream, m_observer, [this] {
                                             return wall_start + std::chrono::floor<std::chrono::milliseconds>(
                                                                     m_timers.now().time_since_epoch());
                                         }});
    for (const control_channel channel :
         {control_channel::membership, control_channel::configuration, control_channel::shares,
          control_channel::account, control_channel::quarantine})
        m_control.attach(name, channel, &entry.running->handler(channel));
    m_calls.attach(name, &entry.running->guard(), entry.timers.get());
}

void test_fleet::stop(const std::string& name)
{
    fleet_node& entry = *m_nodes.at(name);
    for (const control_channel channel :
         {control_channel::membership, control_channel::configuration, control_channel::shares,
          control_channel::account, control_channel::quarantine})
        m_control.attach(name, channel, nullptr);
    m_calls.attach(name, nullptr, nullptr);
    entry.running.reset();
    entry.upstream.reset();
    entry.transport.reset();
    entry.store.reset();
    entry.timers.reset();
}

void test_fleet::make_nested_call(fleet_node& caller, const http_request& request, const std::function<void()>& done)
{
    caller_request nested;
    const bool is_order = request.method == "POST";
    nested.method = is_order ? "POST" : "GET";
    nested.path = is_order ? "/stores/reserve" : "/stores/count";
    nested.body = request.body;
    std::string token;
    for (const auto& [name, value] : request.headers) {
        if (name == "Mulberry-Context")
            token = value;
    }
    node& owner = *caller.running;
    owner.entry().handle_nested(owner.guard().find_context(token), std::move(nested),
                                [done](const caller_response&) { done(); });
}

std::vector<std::string> test_fleet::names() const
{
    std::vector<std::string> result;
    for (const auto& [name, entry] : m_nodes)
        result.push_back(name);
    return result;
}

void test_fleet::write(const std::string& key, const std::string& content)
{
    m_store.put_if(key, m_revisions[key], content, 0,
                   [this, key](leaf::result<put_result> result) { m_revisions[key] = result->revision; });
    m_timers.run_due();
}

std::string test_fleet::organisations_toml() const
{
    organisations_document document;
    document.view_age_limit = m_view_limit;
    for (const auto& [name, entry] : m_organisations)
        document.organisations.push_back(entry.limits);
    return to_toml(document);
}

void test_fleet::add_organisation(const std::string& name, double rate, double burst)
{
    const std::string key = generate_key();
    const auto entry = make_key_entry(name, name + "-key", key, m_salt);
    m_organisations[name] = {{name, rate, burst, {{entry->id, entry->salt, entry->hash}}}, key};
    write(std::string(organisations_document_key), organisations_toml());
}

void test_fleet::withdraw_key(const std::string& name)
{
    m_organisations.at(name).limits.keys.clear();
    write(std::string(organisations_document_key), organisations_toml());
}

void test_fleet::write_key_from(const std::string& node, const std::string& organisation, bool granted,
                                std::function<void(bool accepted)> done)
{
    test_organisation& entry = m_organisations.at(organisation);
    const std::vector<organisation_key> previous_keys = entry.limits.keys;
    entry.limits.keys.clear();
    if (granted) {
        const auto new_key = make_key_entry(organisation, organisation + "-key", entry.key, m_salt);
        entry.limits.keys.push_back({new_key->id, new_key->salt, new_key->hash});
    }
    const config_document* current = at(node).view().find(organisations_document_key);
    const write_request request{std::string(organisations_document_key), organisations_toml(),
                                current == nullptr ? 0 : current->revision};
    entry.limits.keys = previous_keys;
    at(node).writer().write(request, [this, organisation, granted, done](leaf::result<write_result> result) {
        const bool accepted = result && result->accepted;
        if (accepted) {
            test_organisation& changed = m_organisations.at(organisation);
            changed.limits.keys.clear();
            if (granted) {
                const auto new_key = make_key_entry(organisation, organisation + "-key", changed.key, m_salt);
                changed.limits.keys.push_back({new_key->id, new_key->salt, new_key->hash});
            }
        }
        done(accepted);
    });
}

node& test_fleet::at(const std::string& name)
{
    return *m_nodes.at(name)->running;
}

fake_upstream& test_fleet::upstream(const std::string& name)
{
    return *m_nodes.at(name)->upstream;
}

faulty_store& test_fleet::store_of(const std::string& name)
{
    return *m_nodes.at(name)->store;
}

void test_fleet::pause(const std::string& name)
{
    m_nodes.at(name)->timers->pause();
}

void test_fleet::resume(const std::string& name)
{
    m_nodes.at(name)->timers->resume();
}

bool test_fleet::is_running(const std::string& name) const
{
    return m_nodes.at(name)->running != nullptr;
}

void test_fleet::set_group(const std::string& domain, int group)
{
    for (const auto& [name, entry] : m_nodes) {
        if (entry->settings.location.failure_domain != domain)
            continue;
        m_control.set_group(name, group);
        m_calls.set_group(name, group);
    }
}

void test_fleet::set_network_faults(const network_faults& faults)
{
    m_control.set_faults(faults);
    m_calls.set_faults(faults);
}

void test_fleet::run_until_ready()
{
    constexpr int max_seconds = 60;
    for (int second = 0; second < max_seconds; ++second) {
        run(std::chrono::seconds(1));
        bool all = true;
        for (const auto& [name, entry] : m_nodes)
            all = all && entry->running->ready();
        if (all)
            break;
    }
    run(std::chrono::seconds(15)); // beyond the time over which the load of new upstreams is increased
}

entry_handle test_fleet::send(const std::string& name, caller_request request, entry_service::response_callback done)
{
    return at(name).entry().handle(std::move(request), std::move(done));
}

int test_fleet::runs(const std::string& service, const std::string& body) const
{
    const auto it = m_runs.find({service, body});
    return it == m_runs.end() ? 0 : it->second;
}

caller_request make_request(const std::string& key, const std::string& body, bool idempotent)
{
    caller_request request;
    request.method = idempotent ? "GET" : "POST";
    request.path = idempotent ? "/orders/look/" + body : "/orders/place";
    request.headers = {{"Authorization", "Bearer " + key}};
    request.body = body;
    return request;
}

} // namespace mulberry
