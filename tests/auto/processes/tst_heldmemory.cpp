#include "auto/processes/fleet.h"

#include <boost/test/unit_test.hpp>

namespace mulberry::processes {

namespace {

const std::string daemon_path = "/orders";

std::string get(const std::string& path)
{
    return request_head("GET", path);
}

/// A header block of the largest size that the configuration allows, in the shortest fields.
std::string head_of_short_fields(const std::string& path)
{
    constexpr std::size_t field_bytes = 15 * kibibyte;
    std::string fields;
    while (fields.size() < field_bytes)
        fields += "a:b\r\n";
    return request_head("GET", path, fields);
}

} // namespace

// Guards against responses that exhaust the memory because their callers do not read them.
BOOST_AUTO_TEST_CASE(slow_readers_of_long_answers)
{
    sidecar_fleet fleet;
    crowd readers;
    add_slow_readers(readers, fleet.near().callers(), 40, "/far/length/4194304");
    standin::sleep_ms(3000);
    BOOST_TEST(is_answered(fleet.near().callers(), "/far/ok"));
    BOOST_TEST(is_answered(fleet.near().callers(), "/near/ok"));
    BOOST_TEST(fleet.is_within_memory());
}

// As above, with one process between the callers and the target.
BOOST_AUTO_TEST_CASE(slow_readers_beside_the_target)
{
    sidecar_fleet fleet;
    crowd readers;
    add_slow_readers(readers, fleet.near().callers(), 40, "/near/length/4194304");
    standin::sleep_ms(3000);
    BOOST_TEST(is_answered(fleet.near().callers(), "/near/ok"));
    BOOST_TEST(fleet.is_within_memory());
}

// The length of a response in chunks is not known in advance.
BOOST_AUTO_TEST_CASE(slow_readers_of_chunked_answers)
{
    sidecar_fleet fleet;
    crowd readers;
    add_slow_readers(readers, fleet.near().callers(), 40, "/far/chunks/4194304");
    standin::sleep_ms(3000);
    BOOST_TEST(is_answered(fleet.near().callers(), "/far/ok"));
    BOOST_TEST(fleet.is_within_memory());
}

// `mulberryd` holds responses as well. The bound is the sum of its memory settings with 40 MiB for the program.
BOOST_AUTO_TEST_CASE(slow_readers_of_the_daemon)
{
    constexpr std::size_t bound = 128 * mebibyte;
    daemon_process daemon;
    crowd readers;
    add_slow_readers(readers, daemon.callers(), 40, daemon_path + "/length/6291456");
    standin::sleep_ms(3000);
    BOOST_TEST(is_answered(daemon.callers(), daemon_path + "/ok"));
    BOOST_REQUIRE(daemon.process().is_running());
    BOOST_TEST(daemon.process().peak_memory_bytes() <= bound);
}

// Guards against requests whose fields occupy many times their size while they wait.
BOOST_AUTO_TEST_CASE(requests_with_many_fields)
{
    sidecar_fleet fleet;
    crowd clients;
    add_to(clients, fleet.near().callers(), 400, [] { return head_of_short_fields("/far/hold"); });
    standin::sleep_ms(3000);
    BOOST_TEST(is_answered(fleet.near().callers(), "/far/ok"));
    BOOST_TEST(is_answered(fleet.near().callers(), "/near/ok"));
    BOOST_TEST(fleet.is_within_memory());
}

// Guards against heads that never end.
BOOST_AUTO_TEST_CASE(slow_heads)
{
    fleet_limits limits;
    limits.memory_mib = 24;
    sidecar_fleet fleet(limits);
    crowd clients;
    add_to(clients, fleet.near().callers(), 480, [] {
        std::string head = head_of_short_fields("/far/ok");
        head.resize(head.size() - 4);
        return head;
    });
    BOOST_TEST(is_answered(fleet.near().callers(), "/far/ok"));
    BOOST_TEST(fleet.is_within_memory());
}

// Guards against a target that sends bytes without end and takes its process over the memory limit.
BOOST_AUTO_TEST_CASE(bodies_without_end)
{
    sidecar_fleet fleet;
    crowd clients;
    add_to(clients, fleet.far().callers(), 8, [] { return get("/far/endless"); });
    standin::sleep_ms(3000);
    BOOST_TEST(is_answered(fleet.near().callers(), "/far/ok"));
    BOOST_TEST(is_answered(fleet.near().callers(), "/near/ok"));
    BOOST_TEST(fleet.is_within_memory());
}

// Received bytes that wait in the kernel count towards the memory of the process: clients send on while their first
// requests are held.
BOOST_AUTO_TEST_CASE(pipelined_requests)
{
    fleet_limits limits;
    limits.memory_mib = 24;
    sidecar_fleet fleet(limits);
    const std::string next_request =
        request_head("POST", "/near/ok", "Content-Length: 1048576\r\n") + std::string(mebibyte, 'x');
    crowd clients;
    for (int i = 0; i < 300; ++i) {
        add_to(clients, fleet.near().callers(), 1, [] { return get("/near/hold"); });
        std::size_t sent = 0;
        while (sent < next_request.size()) {
            const ssize_t count = ::send(clients.back()->fd(), next_request.data() + sent, next_request.size() - sent,
                                         MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count <= 0)
                break;
            sent += static_cast<std::size_t>(count);
        }
    }
    standin::sleep_ms(2000);
    BOOST_TEST(is_answered(fleet.near().callers(), "/near/ok"));
    BOOST_TEST(fleet.is_within_memory());
    const std::size_t unread = unread_bytes_at(fleet.near().callers());
    BOOST_TEST(unread + fleet.near().process().peak_memory_bytes() <= limits.memory_mib * mebibyte);
}

// Guards against uploads that are held back by their senders and keep others from sending.
BOOST_AUTO_TEST_CASE(uploads_that_stall)
{
    sidecar_fleet fleet;
    const stubborn_crowd clients(fleet.near().callers(), 60, [] {
        return request_head("POST", "/far/ok", "Content-Length: 2097152\r\n") + std::string(mebibyte, 'x');
    });
    standin::sleep_ms(2000);
    BOOST_TEST(is_answered_at_once(fleet.near().callers(), "/far/ok", std::string(2 * kibibyte, 'y')));
    BOOST_TEST(fleet.is_within_memory());
}

// Guards against limits that refuse a caller who asks for one long response while nothing else goes on.
BOOST_AUTO_TEST_CASE(one_long_answer)
{
    fleet_limits limits;
    limits.memory_mib = 160;
    sidecar_fleet fleet(limits);
    BOOST_TEST(is_answered(fleet.near().callers(), "/far/length/67108864"));
    BOOST_TEST(fleet.is_within_memory());
}

// As above, for the longest upload that the configuration allows.
BOOST_AUTO_TEST_CASE(one_long_upload)
{
    fleet_limits limits;
    limits.memory_mib = 160;
    sidecar_fleet fleet(limits);
    BOOST_TEST(is_answered(fleet.near().callers(), "/far/ok", std::string(64 * mebibyte, 'x')));
    BOOST_TEST(fleet.is_within_memory());
}

// Guards against memory and descriptors that are not given back for callers who leave: while their requests are held,
// while their uploads are under way, and within their answers.
BOOST_AUTO_TEST_CASE(callers_that_leave)
{
    sidecar_fleet fleet;
    const std::size_t descriptors_before = fleet.near().process().open_descriptors();
    for (int round = 0; round < 20; ++round) {
        crowd clients;
        add_to(clients, fleet.near().callers(), 10, [] { return get("/far/hold"); });
        add_to(clients, fleet.near().callers(), 5, [] { return get("/far/length/2097152"); });
        add_to(clients, fleet.near().callers(), 5, [] {
            return request_head("POST", "/far/ok", "Content-Length: 2097152\r\n") + std::string(mebibyte, 'x');
        });
        standin::sleep_ms(100);
    }
    BOOST_TEST(wait_until([&] { return fleet.far().target().held() == 0; }));
    BOOST_TEST(wait_until([&] { return fleet.near().process().open_descriptors() <= descriptors_before + 70; }));
    BOOST_TEST(is_answered(fleet.near().callers(), "/far/ok"));
    BOOST_TEST(fleet.is_within_memory());
}

// Guards against tables, counters and logs that grow with each new name that a client sends.
BOOST_AUTO_TEST_CASE(names_of_clients)
{
    fleet_limits limits;
    limits.memory_mib = 32;
    sidecar_fleet fleet(limits);
    for (int connection = 0; connection < 20; ++connection) {
        const auto link = standin::connection::to(fleet.near().callers());
        BOOST_REQUIRE(link);
        for (int i = 0; i < 500; ++i) {
            std::string name = std::to_string(connection) + "-" + std::to_string(i);
            name.resize(1000, 'n');
            std::string fields = "Authorization: Token " + name;
            fields.append("\r\nIdempotency-Key: ").append(name).append("\r\n");
            std::string head = request_head(i % 2 == 0 ? "GET" : "M" + std::to_string(i), "/far/ok/" + name, fields);
            if (i % 3 == 0)
                head.replace(head.find("fleet.example"), std::string("fleet.example").size(), name + ".example");
            BOOST_REQUIRE(link->write(head));
            BOOST_REQUIRE(link->read_response(standin::clock::now() + standin::milliseconds(20'000)).complete);
        }
    }
    BOOST_TEST(is_answered(fleet.near().callers(), "/far/ok"));
    BOOST_TEST(fleet.is_within_memory());
}

} // namespace mulberry::processes
