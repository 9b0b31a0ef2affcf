#include "auto/processes/fleet.h"

#include <boost/test/unit_test.hpp>

namespace mulberry::processes {

namespace {

fleet_limits few_descriptors()
{
    fleet_limits limits;
    limits.descriptors = 200;
    return limits;
}

std::string nothing()
{
    return {};
}

} // namespace

// Guards against memory that is set aside for bytes that were only announced: others could not send a body.
BOOST_AUTO_TEST_CASE(announced_bodies_that_never_come)
{
    sidecar_fleet fleet;
    crowd clients;
    for (const std::string length : {"102400", "1024"}) {
        const std::string field = "Content-Length: " + length + "\r\n";
        add_to(clients, fleet.near().callers(), 200, [&] { return request_head("POST", "/far/ok", field); });
        standin::sleep_ms(500);
    }
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(is_answered_at_once(fleet.near().callers(), "/far/ok", std::string(2 * kibibyte, 'y')));
    BOOST_TEST(fleet.is_within_memory());
}

// Guards against a refused caller that keeps its connection by sending without end.
BOOST_AUTO_TEST_CASE(refused_callers_that_send_on)
{
    sidecar_fleet fleet;
    const std::size_t descriptors_before = fleet.near().process().open_descriptors();
    crowd clients;
    add_to(clients, fleet.near().callers(), 40, [] { return std::string("not a request\r\n\r\n"); });
    std::atomic<bool> stop{false};
    std::thread sender([&] {
        while (!stop) {
            for (const auto& client : clients)
                client->write("more bytes");
            standin::sleep_ms(100);
        }
    });
    BOOST_TEST(wait_until([&] { return fleet.near().process().open_descriptors() <= descriptors_before + 5; }));
    stop = true;
    sender.join();
    BOOST_TEST(is_answered(fleet.near().callers(), "/far/ok"));
}

// Guards against idle connections that keep others out.
BOOST_AUTO_TEST_CASE(idle_connections)
{
    const fleet_limits limits = few_descriptors();
    sidecar_fleet fleet(limits);
    crowd clients;
    add_to(clients, fleet.near().callers(), 300, nothing);
    standin::sleep_ms(500);
    BOOST_TEST(is_answered_at_once(fleet.near().callers(), "/far/ok"));
    BOOST_TEST(fleet.near().process().open_descriptors() <= limits.descriptors);
}

// As above, with connections that have sent a part of a head.
BOOST_AUTO_TEST_CASE(slow_heads_at_the_limit)
{
    const fleet_limits limits = few_descriptors();
    sidecar_fleet fleet(limits);
    crowd clients;
    add_to(clients, fleet.near().callers(), 300, [] { return std::string("GET /far/ok HTTP/1.1\r\nHost: f"); });
    standin::sleep_ms(500);
    BOOST_TEST(is_answered_at_once(fleet.near().callers(), "/far/ok"));
    BOOST_TEST(fleet.near().process().open_descriptors() <= limits.descriptors);
}

// Guards against connections to the ports for metrics and for other daemons that use up the descriptors.
BOOST_AUTO_TEST_CASE(idle_connections_of_other_ports)
{
    const fleet_limits limits = few_descriptors();
    sidecar_fleet fleet(limits);
    const stubborn_crowd metrics_clients(fleet.near().metrics(), 150, nothing);
    const stubborn_crowd peers(fleet.near().peers(), 150, nothing);
    standin::sleep_ms(1000);
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(is_answered_at_once(fleet.near().callers(), "/far/ok"));
    BOOST_TEST(fleet.near().is_ready());
    BOOST_TEST(fleet.near().process().open_descriptors() < limits.descriptors);
}

// Guards against connections whose callers do not read their responses and so keep others out.
BOOST_AUTO_TEST_CASE(unread_answers_at_the_limit)
{
    const fleet_limits limits = few_descriptors();
    sidecar_fleet fleet(limits);
    crowd clients;
    add_to(clients, fleet.near().callers(), 5, [] { return request_head("GET", "/near/length/4194304"); });
    add_to(clients, fleet.near().callers(), 300, nothing);
    standin::sleep_ms(1500);
    BOOST_TEST(is_answered_at_once(fleet.near().callers(), "/far/ok"));
    BOOST_TEST(fleet.near().process().open_descriptors() <= limits.descriptors);
    BOOST_TEST(fleet.is_within_memory());
}

// `mulberryd` accepts 1000 connections of callers unless its settings say otherwise.
BOOST_AUTO_TEST_CASE(connections_of_the_daemon)
{
    daemon_process daemon;
    crowd clients;
    add_to(clients, daemon.callers(), 1100, nothing);
    standin::sleep_ms(500);
    BOOST_TEST(is_answered_at_once(daemon.callers(), "/orders/ok"));
}

// Guards against requests that end a process or keep its connections: unusual but allowed ones, and ones that never
// become complete.
BOOST_AUTO_TEST_CASE(odd_requests)
{
    sidecar_fleet fleet;
    const std::size_t descriptors_before = fleet.near().process().open_descriptors();
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::vector<std::string> requests{
        request_head("HEAD", "/far/length/4194304"),
        request_head("OPTIONS", "*"),
        request_head("GET", "http://fleet.example/far/ok"),
        request_head("GET", "/far/ok?" + std::string(15 * kibibyte, 'q')),
        request_head("GET", "/" + std::string(20 * kibibyte, 'p')),
        request_head("CONNECT", "fleet.example:443"),
        request_head("GET", "/far/ok", "Connection: Upgrade\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n"),
        request_head("POST", "/far/ok", "Expect: 100-continue\r\nContent-Length: 1000000\r\n"),
        request_head("POST", "/far/ok", "Expect: 200-maybe\r\nContent-Length: 2\r\n") + "ok",
        request_head("POST", "/far/ok", chunked) + "2;x=" + std::string(30 * kibibyte, 'e') + "\r\nok\r\n0\r\n\r\n",
        request_head("POST", "/far/ok", chunked) + "0\r\nX-Trailer: " + std::string(30 * kibibyte, 't') + "\r\n\r\n",
        request_head("POST", "/far/ok", chunked) + "ffffffffffffffff\r\nok",
        request_head("POST", "/far/ok", chunked) + "-1\r\nok",
        request_head("POST", "/far/ok", "Content-Length: 18446744073709551615\r\n"),
        request_head("POST", "/far/ok", "Content-Length: 67108864\r\n"),
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11),
        std::string(100 * kibibyte, '\0'),
        "\r\n\r\n\r\n\r\n",
        "GET /far/ok HTTP/0.9\r\n\r\n",
        "GET /far/ok HTTP/1.0\r\n\r\n",
    };
    for (int round = 0; round < 5; ++round) {
        for (const bool resets : {false, true}) {
            crowd clients;
            for (const std::string& request : requests)
                add_to(clients, fleet.near().callers(), 2, [&] { return request; });
            standin::sleep_ms(50);
            for (const auto& client : clients) {
                if (resets)
                    client->reset_on_close();
            }
        }
    }
    BOOST_TEST(is_answered_at_once(fleet.near().callers(), "/far/ok"));
    BOOST_TEST(wait_until([&] { return fleet.near().process().open_descriptors() <= descriptors_before + 70; }));
    BOOST_TEST(fleet.is_within_memory());
}

// Guards against endless small requests on one connection, and against connections that are reset at once.
BOOST_AUTO_TEST_CASE(many_requests_and_resets)
{
    fleet_limits limits;
    limits.memory_mib = 32;
    sidecar_fleet fleet(limits);
    const std::size_t descriptors_before = fleet.near().process().open_descriptors();
    std::string requests;
    for (int i = 0; i < 2000; ++i)
        requests += request_head("GET", "/unknown/" + std::to_string(i));
    crowd clients;
    std::thread sender([&] { add_to(clients, fleet.near().callers(), 4, [&] { return requests; }); });
    for (int i = 0; i < 2000; ++i) {
        const auto link = standin::connection::to(fleet.near().callers());
        BOOST_REQUIRE(link);
        link->write(request_head("GET", "/far/hold"));
        link->reset_on_close();
    }
    sender.join();
    clients.clear();
    BOOST_TEST(is_answered_at_once(fleet.near().callers(), "/far/ok"));
    BOOST_TEST(wait_until([&] { return fleet.near().process().open_descriptors() <= descriptors_before + 70; }));
    BOOST_TEST(wait_until([&] { return fleet.far().target().held() == 0; }));
    BOOST_TEST(fleet.is_within_memory());
}

} // namespace mulberry::processes
