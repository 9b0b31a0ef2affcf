#pragma once

#include "app/node/node.h"
#include "fakes/fakecallnetwork.h"
#include "fakes/fakecontrolnetwork.h"
#include "fakes/fakeupstream.h"
#include "fakes/faultystore.h"
#include "fakes/nodetimers.h"
#include "fakes/virtualtimerservice.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

/// Where the nodes of a test fleet run and what they serve. Node names are "<service>-<domain>-<number>".
struct fleet_plan {
    std::vector<node_location> domains{{"quay", "south"}, {"curepipe", "north"}};
    std::vector<std::string> services{"orders", "stores"};
    int nodes_per_service_and_domain = 1;
    std::uint32_t slots = 20;
    duration service_time{20'000};
};

/// An organisation with one key whose text the test knows.
struct test_organisation {
    organisation limits;
    std::string key;
};

/// Several nodes of the real slices in virtual time, joined by fakes of the network, the store and the upstreams. An
/// upstream of "orders" makes one nested call to "stores".
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

    /// Adds an organisation with a fresh key and writes the document to the store.
    void add_organisation(const std::string& name, double rate, double burst);
    /// Sets the age up to which nodes serve keyed requests; part of the organisations document.
    void set_view_limit(duration limit) { m_view_limit = limit; }
    /// Removes the keys of an organisation from the document in the store.
    void withdraw_key(const std::string& name);
    /// Lets a node write the organisations document with or without the key, as an operator does. The callback gets
    /// whether the node accepted the write.
    void write_key_from(const std::string& node, const std::string& organisation, bool granted,
                        std::function<void(bool accepted)> done);
    const std::string& key_of(const std::string& name) const { return m_organisations.at(name).key; }

    void stop(const std::string& name);
    void start(const std::string& name);
    void pause(const std::string& name);
    void resume(const std::string& name);
    /// Puts all nodes of a failure domain into a partition group.
    void set_group(const std::string& domain, int group);
    void set_network_faults(const network_faults& faults);
    void run(duration interval) { m_timers.advance(interval); }
    /// Runs until every node is ready, at most for a minute.
    void run_until_ready();

    /// Sends a caller's request to a node. The body comes back in a served answer.
    entry_handle send(const std::string& name, caller_request request, entry_service::answer_callback done);

    /// How often a request with this body began to run at an upstream of the service.
    int runs(const std::string& service, const std::string& body) const;
    /// Called at the start of each run with the service and the request that the upstream got.
    std::function<void(const std::string& service, const http_request&)> on_run;

private:
    struct slot;
    class silent_observer;

    void write(const std::string& key, const std::string& content);
    std::string organisations_text() const;
    void add_node(const std::string& service, const node_location& location, int number, const fleet_plan& plan);
    void make_nested_call(slot& caller, const http_request& request, const std::function<void()>& done);

    virtual_timer_service m_timers;
    seeded_random_source m_random;
    memory_store m_store{m_timers};
    fake_control_network m_control{m_timers, m_random};
    fake_call_network m_calls{m_timers, m_random};
    std::unique_ptr<silent_observer> m_observer;
    std::vector<std::string> m_domains;
    std::map<std::string, std::unique_ptr<slot>> m_nodes;
    std::map<std::string, test_organisation> m_organisations;
    std::map<std::string, std::int64_t> m_revisions;
    std::map<std::pair<std::string, std::string>, int> m_runs;
    std::vector<std::uint8_t> m_salt = generate_salt();
    duration m_view_limit = default_view_age_limit;
    std::uint64_t m_incarnations = 0;
};

/// A request to the keyed route "place" of orders, which is not idempotent, or "look", which is.
caller_request make_request(const std::string& key, const std::string& body, bool idempotent);

} // namespace mulberry
