#include "app/mulberryd/daemon.h"
#include "fakes/loopback.h"

#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

daemon_settings single_node()
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
    settings.once_memory_bytes = std::size_t{1024} * 1024;
    return settings;
}

struct daemon_fixture : loopback {
    daemon subject{single_node(), loop};
    daemon_ports ports = subject.start().value();
};

} // namespace

// Guards against answers that come twice, late or not at all to requests whose framing is unclear: the caller would
// take the second one for the answer to its next request.
BOOST_FIXTURE_TEST_CASE(unclear_requests_get_one_answer, daemon_fixture)
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

// Guards against a kept connection that a refusal ends, and against refusals without a reason.
BOOST_FIXTURE_TEST_CASE(refusals_keep_the_connection, daemon_fixture)
{
    raw_client client(*this, ports.callers);
    client.send("GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(client.received("\"reason\""));
    const std::size_t first = client.bytes().size();
    client.send("GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(run_until([&] { return client.bytes().size() >= 2 * first; }));
}

// Guards against a planned stop that hangs on an idle kept connection.
BOOST_FIXTURE_TEST_CASE(a_stop_ends_idle_connections, daemon_fixture)
{
    raw_client client(*this, ports.callers);
    client.send("GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(client.received("\"reason\""));
    subject.stop();
    BOOST_TEST(client.ended());
    BOOST_TEST(run_until([this] { return loop.context().stopped(); }));
}

} // namespace mulberry
