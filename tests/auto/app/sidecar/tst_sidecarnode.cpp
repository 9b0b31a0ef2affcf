#include "app/sidecar/sidecarnode.h"
#include "fakes/fakeupstream.h"
#include "fakes/faultystore.h"
#include "fakes/ignoringobserver.h"
#include "fakes/virtualtimerservice.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

/// No other node is reachable.
class unreachable_network final : public call_transport, public control_link {
public:
    call_id send(std::string_view, const call_request&, call_callback) override { return 0; }
    void cancel(call_id) override {}
    void send(std::string_view, control_channel, std::string) override {}
};

/// A node of the service "orders" whose upstream has the limit of four seconds for draining.
struct sidecar_fixture {
    virtual_timer_service timers;
    seeded_random_source random{3};
    memory_store backing{timers};
    faulty_store store{backing, timers, random};
    fake_upstream upstream{timers, random};
    unreachable_network network;
    ignoring_observer observer;
    std::unique_ptr<sidecar_node> node;
    std::vector<time_point> arrivals;
    std::uint64_t incarnation = 0;
    std::uint64_t last_sequence = 0;
    /// What the sender of the calls knows of the upstream, from the last response.
    upstream_notice known_notice;

    sidecar_fixture()
    {
        upstream.on_run([this](const http_request&) { arrivals.push_back(timers.now()); });
        start_node();
        report_upstream(1);
    }

    void start_node()
    {
        sidecar_settings settings;
        settings.node_name = "orders-1";
        settings.service = "orders";
        settings.upstream_address = "10.0.0.1:80";
        settings.peers = {"10.0.0.1", 7000};
        settings.location = {"quay", "south"};
        field_names fields;
        fields.leaving = "Leaving";
        const sidecar_environment environment{timers,   random,   random,
                                              store,    network,  network,
                                              upstream, observer, [this] { return std::optional(timers.now()); }};
        node.reset();
        node = std::make_unique<sidecar_node>(settings, node_id{"orders-1", ++incarnation}, fields, environment);
        node->start();
        timers.advance(500ms);
    }

    void report_upstream(std::uint64_t sequence) { node->upstream().report({"i-1", "orders", 20, false, sequence, 1}); }

    void send_calls(duration length)
    {
        const time_point end = timers.now() + length;
        while (timers.now() < end) {
            call_request call;
            call.attempt = {{"entry-1", 1}, ++last_sequence};
            call.service = "orders";
            call.remaining = 1s;
            call.method = "GET";
            call.path = "/list";
            call.idempotent = true;
            call.notice = known_notice;
            node->guard().handle("entry-1", call, [this](const call_response& response) {
                if (response.notice != upstream_notice{})
                    known_notice = response.notice;
            });
            timers.advance(50ms);
        }
    }
};

} // namespace

// Guards against work for an upstream that says in its responses that it is leaving, while its announcements are late.
BOOST_FIXTURE_TEST_CASE(upstream_that_responds_as_leaving_gets_work, sidecar_fixture)
{
    send_calls(1s);
    BOOST_TEST(!arrivals.empty());
    upstream.set_response_headers({{"Leaving", "1"}});
    send_calls(2500ms);
    arrivals.clear();
    send_calls(3s);
    BOOST_TEST(arrivals.empty());
    report_upstream(2);
    send_calls(1s);
    BOOST_TEST(arrivals.empty());
}

// Guards against work for a leaving upstream after its node has restarted while the store was away, so that the
// registry still has the upstream as serving.
BOOST_FIXTURE_TEST_CASE(leaving_upstream_gets_work_after_a_restart_of_its_node, sidecar_fixture)
{
    send_calls(1s);
    store.set_faults({.down = true});
    upstream.set_response_headers({{"Leaving", "1"}});
    send_calls(2500ms);
    start_node();
    report_upstream(2);
    arrivals.clear();
    send_calls(3s);
    BOOST_TEST(arrivals.empty());
}

// Guards against knowledge about an earlier run that takes the next run of the upstream out of service.
BOOST_FIXTURE_TEST_CASE(next_run_of_a_leaving_upstream_gets_no_work, sidecar_fixture)
{
    upstream.set_response_headers({{"Leaving", "1"}});
    send_calls(1s);
    upstream.set_response_headers({});
    start_node();
    node->upstream().report({"i-1", "orders", 20, false, 1, 2});
    arrivals.clear();
    send_calls(1s);
    BOOST_TEST(arrivals.size() == 20U);
}

// Guards against an older configuration from a restored store whose limits replace those in force.
BOOST_FIXTURE_TEST_CASE(older_configuration_is_reported_as_in_force, sidecar_fixture)
{
    host_configuration newer;
    newer.version = 9;
    BOOST_TEST(node->apply(newer));
    BOOST_TEST(node->apply(newer));
    host_configuration older;
    older.version = 7;
    BOOST_TEST(!node->apply(older));
    BOOST_TEST(node->policy().revision() == 9);
}

} // namespace mulberry
