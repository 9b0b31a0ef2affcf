#pragma once

#include "app/node/node.h"
#include "fakes/fakecallnetwork.h"
#include "fakes/fakecontrolnetwork.h"
#include "fakes/fakeupstream.h"
#include "fakes/faultystore.h"
#include "fakes/ignoringobserver.h"
#include "fakes/nodetimers.h"
#include "fakes/virtualtimerservice.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

/// Failure domains, services and number of nodes of a test fleet. Node names are "<service>-<domain>-<number>".
struct fleet_plan {
    std::vector<node_location> domains{{"quay", "south"}, {"curepipe", "north"}};
    std::vector<std::string> services{"orders", "stores"};
    int nodes_per_service_and_domain = 1;
    std::uint32_t slots = 20;
    duration service_time{20'000};
};

/// An organisation with one key, including the plain text of the key.
struct test_organisation {
    organisation limits;
    std::string key;
};

/// Several nodes in virtual time, which consist of the production components and are connected by fakes of the network,
/// the store and the upstreams. An upstream of "orders" makes one nested call to "stores" for each request.
class test_fleet {
public:
    test_fleet(const fleet_plan& plan, std::uint64_t seed);
    ~test_fleet();

    virtual_timer_service& timers() { return m_timers; }
    random_source& random() { return m_random; }
    memory_store& store() { return m_store; }
    std::vector<std::string> names() const;
    node& at(const std::string& name);
    bool is_running(const std::string& name) const;
    fake_upstream& upstream(const std::string& name);
    faulty_store& store_of(const std::string& name);

    /// Adds an organisation with a newly generated key and writes the organisations document to the store.
    void add_organisation(const std::string& name, double rate, double burst);
    /// Sets the maximum view age at which nodes serve keyed requests. Takes effect when the organisations document,
    /// which contains it, is next written.
    void set_view_limit(duration limit) { m_view_limit = limit; }
    /// Removes the keys of an organisation from the document in the store.
    void withdraw_key(const std::string& name);
    /// Writes the organisations document with or without the key through the writer of a node, as an operator does. The
    /// callback receives whether the node accepted the write.
    void write_key_from(const std::string& node, const std::string& organisation, bool granted,
                        std::function<void(bool accepted)> done);
    const std::string& key_of(const std::string& name) const { return m_organisations.at(name).key; }

    /// Ends a node at once, without a planned stop.
    void stop(const std::string& name);
    /// Starts a new run of a node with a higher incarnation.
    void start(const std::string& name);
    /// Stops the timers of a node, as if its process were suspended.
    void pause(const std::string& name);
    void resume(const std::string& name);
    /// Puts all nodes of a failure domain into a network partition group. Nodes of different groups cannot communicate.
    void set_group(const std::string& domain, int group);
    void set_network_faults(const network_faults& faults);
    void run(duration interval) { m_timers.advance(interval); }
    /// Advances the time until every node is ready, at most for a minute, and then until new upstreams have their full
    /// load.
    void run_until_ready();

    /// Sends a caller's request to a node. The response of a served request has the same body.
    entry_handle send(const std::string& name, caller_request request, entry_service::response_callback done);

    /// Returns how often a request with this body was started by an upstream of the service.
    int runs(const std::string& service, const std::string& body) const;
    /// Requests that crash every upstream that runs them. Takes effect when a node starts.
    crash_trigger crashing_requests;
    /// Called whenever an upstream starts a request, with the upstream's service and the request.
    std::function<void(const std::string& service, const http_request&)> on_run;

private:
    struct fleet_node;

    void write(const std::string& key, const std::string& content);
    std::string organisations_toml() const;
    void add_node(const std::string& service, const node_location& location, int number, const fleet_plan& plan);
    void make_nested_call(fleet_node& caller, const http_request& request, const std::function<void()>& done);

    virtual_timer_service m_timers;
    seeded_random_source m_random;
    memory_store m_store{m_timers};
    fake_control_network m_control{m_timers, m_random};
    fake_call_network m_calls{m_timers, m_random};
    ignoring_observer m_observer;
    std::vector<std::string> m_domains;
    std::map<std::string, std::unique_ptr<fleet_node>> m_nodes;
    std::map<std::string, test_organisation> m_organisations;
    std::map<std::string, std::int64_t> m_revisions;
    std::map<std::pair<std::string, std::string>, int> m_runs;
    std::vector<std::uint8_t> m_salt = generate_salt();
    duration m_view_limit = default_view_age_limit;
    std::uint64_t m_incarnations = 0;
};

/// Returns a request to a route of "orders" that requires a key: to "look" if `idempotent` is set, otherwise to
/// "place", which is not idempotent.
caller_request make_request(const std::string& key, const std::string& body, bool idempotent);

} // namespace mulberry
