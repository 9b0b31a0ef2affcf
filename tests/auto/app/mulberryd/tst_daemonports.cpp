#include "app/mulberryd/daemon.h"
#include "fakes/testeventloop.h"

#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

daemon_settings single_node_settings()
{
    daemon_settings settings;
    settings.node_name = "orders-1";
    settings.failure_domain = "quay";
    settings.failure_domains = {"quay"};
    settings.region = "south";
    settings.service = "orders";
    settings.upstream_url = "http://127.0.0.1:9";
    settings.callers_listen = {"127.0.0.1", 0};
    settings.nested_listen = {"127.0.0.1", 0};
    settings.store_in_memory = true;
    settings.drain_limit = std::chrono::seconds(5);
    settings.caller_connections = 100;
    settings.upstream_connections = 10;
    settings.header_cap_bytes = 4000;
    settings.account_memory_bytes = std::size_t{1024} * 1024;
    settings.idempotency_memory_bytes = std::size_t{1024} * 1024;
    return settings;
}

struct daemon_fixture : test_event_loop {
    daemon subject{single_node_settings(), loop};
    daemon_ports ports = subject.start().value();
};

} // namespace

// Guards against duplicate, late or missing responses to requests with ambiguous framing: the caller would take a
// second response as the response to its next request.
BOOST_FIXTURE_TEST_CASE(ambiguous_requests_receive_one_response, daemon_fixture)
{
    const std::vector<std::pair<std::string, std::string>> table{
        {"GET / HTTP/1.1\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", "400"},
        {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99000000\r\n\r\n", "413"},
    };
    for (const std::uint16_t port : {ports.callers, ports.nested}) {
        for (const auto& [bytes, status] : table) {
            raw_client client(*this, port);
            client.send(bytes);
            BOOST_TEST(client.ended(), bytes);
            BOOST_TEST(client.bytes().starts_with("HTTP/1.1 " + status), bytes << client.bytes());
            BOOST_TEST(client.bytes().find("HTTP/1.1", 1) == std::string::npos, bytes);
        }
    }
}

// Guards against refusals that close a persistent connection, and against refusals without a reason.
BOOST_FIXTURE_TEST_CASE(refusals_keep_the_connection, daemon_fixture)
{
    raw_client client(*this, ports.callers);
    client.send("GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(client.received("\"reason\""));
    const std::size_t first = client.bytes().size();
    client.send("GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(run_until([&] { return client.bytes().size() >= 2 * first; }));
}

// Guards against a planned stop that never finishes because of an idle persistent connection.
BOOST_FIXTURE_TEST_CASE(planned_stop_closes_idle_connections, daemon_fixture)
{
    raw_client client(*this, ports.callers);
    client.send("GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(client.received("\"reason\""));
    subject.stop();
    BOOST_TEST(client.ended());
    BOOST_TEST(run_until([this] { return loop.context().stopped(); }));
}

} // namespace mulberry
