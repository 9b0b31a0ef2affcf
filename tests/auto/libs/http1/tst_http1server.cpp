#include "libs/http1/http1server.h"

#include "fakes/testeventloop.h"

#include <map>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace mulberry {

using namespace std::chrono_literals;

namespace {

using boost::asio::ip::tcp;

struct recording_handler final : http1_handler {
    void on_request(http1_request_id id, http1_request request, response_callback done) override
    {
        requests.push_back(std::move(request));
        if (hold_responses) {
            pending_callbacks.emplace(id, std::move(done));
            return;
        }
        done({200, {{"X-Answer", "yes"}}, "body of " + requests.back().target});
    }

    void on_caller_gone(http1_request_id id) override
    {
        pending_callbacks.erase(id);
        ++callers_gone;
    }

    std::vector<http1_request> requests;
    std::map<http1_request_id, response_callback> pending_callbacks;
    bool hold_responses = false;
    int callers_gone = 0;
};

http1_limits small_limits()
{
    http1_limits limits;
    limits.max_header_bytes = 2000;
    limits.max_body_bytes = 1000;
    limits.max_buffered_body_bytes = 800;
    return limits;
}

struct server_fixture : test_event_loop {
    recording_handler handler;
    http1_server server{loop, handler, small_limits()};
    std::uint16_t port = server.start("127.0.0.1", 0).value();
};

} // namespace

// Guards against mixed-up responses and closed connections when a caller sends several requests over one connection.
BOOST_FIXTURE_TEST_CASE(persistent_connection_takes_several_requests, server_fixture)
{
    raw_client client(*this, port);
    client.send("GET /one HTTP/1.1\r\nHost: a\r\n\r\nPOST /two HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
    BOOST_TEST(client.received("body of /one"));
    BOOST_TEST(client.received("body of /two"));
    client.send("POST /three HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n");
    BOOST_TEST(client.received("body of /three"));
    BOOST_REQUIRE(handler.requests.size() == 3U);
    BOOST_TEST(handler.requests[1].body == "abc");
    BOOST_TEST(handler.requests[2].body == "xyz");
}

// Guards against accepting requests that the next hop could interpret differently, and against leaving their callers
// without a response.
BOOST_FIXTURE_TEST_CASE(ambiguous_requests_are_refused_once, server_fixture)
{
    const std::vector<std::pair<std::string, std::string>> table{
        {"GET / HTTP/1.1\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", "400"},
        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
        {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
        {"not a request\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n", "413"},
        {"GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(3000, 'x') + "\r\n\r\n", "431"},
        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n", "503"},
    };
    for (const auto& [bytes, status] : table) {
        raw_client client(*this, port);
        client.send(bytes);
        BOOST_TEST(client.ended(), bytes.substr(0, 80));
        BOOST_TEST(client.bytes().starts_with("HTTP/1.1 " + status), bytes.substr(0, 80) << client.bytes());
        BOOST_TEST(client.bytes().find("HTTP/1.1", 1) == std::string::npos, bytes.substr(0, 80));
    }
    BOOST_TEST(handler.requests.empty());
}

// Guards against a request that is read and ends without a response: the idle limit, or the time for its header, has
// expired during a suspension in which the request arrived.
BOOST_FIXTURE_TEST_CASE(an_expired_timer_of_an_earlier_phase_does_not_close_the_connection, server_fixture)
{
    http1_limits limits = small_limits();
    limits.idle_timeout = 1ms; // the server adds a margin
    limits.header_timeout = 100ms;
    server.set_limits(limits);
    handler.hold_responses = true;
    for (const std::string first_bytes : {"", "POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"}) {
        raw_client client(*this, port);
        if (!first_bytes.empty())
            client.send(first_bytes);
        bool is_suspended = false;
        timers.schedule(20ms, [&] {
            client.send(first_bytes.empty() ? "GET /one HTTP/1.1\r\nHost: a\r\n\r\n" : "\r\nabc");
            std::this_thread::sleep_for(2200ms);
            is_suspended = true;
        });
        BOOST_TEST(run_until([&] { return is_suspended; }));
        BOOST_TEST(run_until([&] { return handler.pending_callbacks.size() == 1 || handler.callers_gone > 0; }));
        bool is_later = false;
        timers.schedule(50ms, [&] { is_later = true; });
        run_until([&] { return is_later; });
        BOOST_REQUIRE(handler.pending_callbacks.size() == 1U);
        handler.pending_callbacks.begin()->second({200, {}, "done"});
        handler.pending_callbacks.clear();
        BOOST_TEST(client.received("done"));
    }
}

// Guards against idle connections that keep new callers out, and against closing connections that are in use.
BOOST_FIXTURE_TEST_CASE(new_connections_replace_idle_ones, server_fixture)
{
    http1_limits limits = small_limits();
    limits.max_connections = 3;
    server.set_limits(limits);
    handler.hold_responses = true;
    raw_client busy(*this, port);
    busy.send("GET /busy HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(run_until([&] { return handler.pending_callbacks.size() == 1; }));
    raw_client first_idle(*this, port);
    BOOST_TEST(run_until([&] { return server.open_connections() == 2; }));
    raw_client second_idle(*this, port);
    BOOST_TEST(run_until([&] { return server.open_connections() == 3; }));

    raw_client next(*this, port);
    BOOST_TEST(first_idle.ended());
    next.send("GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(run_until([&] { return handler.pending_callbacks.size() == 2; }));
    second_idle.send("GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(run_until([&] { return handler.pending_callbacks.size() == 3; }));
    BOOST_TEST(server.evicted_connections() == 1U);

    // All connections are in use now.
    raw_client refused(*this, port);
    BOOST_TEST(refused.ended());
    for (const auto& [id, done] : std::exchange(handler.pending_callbacks, {}))
        done({200, {}, "answer"});
    BOOST_TEST(busy.received("answer"));
    BOOST_TEST(next.received("answer"));
    BOOST_TEST(second_idle.received("answer"));
}

// Guards against callers that hold the memory for messages by not reading: they give way to others.
BOOST_FIXTURE_TEST_CASE(slow_readers_give_way_when_memory_is_short, test_event_loop)
{
    constexpr std::size_t body_bytes = std::size_t{8} * 1024 * 1024;
    const auto memory = std::make_shared<memory_budget>(3 * body_bytes);
    recording_handler handler;
    handler.hold_responses = true;
    http1_server server(loop, handler, {}, memory);
    const std::uint16_t port = server.start("127.0.0.1", 0).value();
    const auto respond = [&] {
        memory_reservation reservation(memory);
        const bool is_reserved = reservation.resize(body_bytes);
        const auto callback = handler.pending_callbacks.begin()->second;
        handler.pending_callbacks.clear();
        callback({200, {}, message_body(std::string(is_reserved ? body_bytes : 0, 'x'), std::move(reservation))});
        return is_reserved;
    };
    boost::asio::io_context clients;
    std::vector<tcp::socket> readers;
    for (int i = 0; i < 2; ++i) {
        readers.emplace_back(clients).connect({boost::asio::ip::make_address("127.0.0.1"), port});
        boost::asio::write(readers.back(), boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        BOOST_TEST(run_until([&] { return handler.pending_callbacks.size() == 1; }));
        BOOST_TEST(respond());
    }
    // Three quarters of the memory are in use, and the readers are not slow yet.
    memory_reservation early(memory);
    BOOST_TEST(!early.resize(body_bytes));
    BOOST_TEST(run_until([&] {
        memory_reservation probe(memory);
        return probe.resize(body_bytes);
    }));
    BOOST_TEST(server.open_connections() == 1U);
    BOOST_TEST(memory->reclaimed() == 1U);
}

// Guards against a response that its receiver would read differently: fields that cannot be written and statuses that
// no response can have.
BOOST_FIXTURE_TEST_CASE(unwritable_responses_are_replaced, server_fixture)
{
    handler.hold_responses = true;
    const std::vector<http1_response> responses{
        {0, {}, "x"},
        {199, {}, "x"},
        {600, {}, "x"},
        {200, {{"X Y", "v"}}, "x"},
        {200, {{"", "v"}}, "x"},
        {200, {{"X", "a\r\nY: z"}}, "x"},
        {200, {{"X", "a\x01"}}, "x"},
    };
    for (const http1_response& response : responses) {
        raw_client client(*this, port);
        client.send("GET /one HTTP/1.1\r\nHost: a\r\n\r\n");
        BOOST_TEST(run_until([&] { return handler.pending_callbacks.size() == 1; }));
        handler.pending_callbacks.begin()->second(response);
        handler.pending_callbacks.clear();
        BOOST_TEST(client.received("\r\n\r\n"));
        BOOST_TEST(client.bytes().starts_with("HTTP/1.1 502"));
    }
}

// Guards against processing requests of a caller that has closed its connection.
BOOST_FIXTURE_TEST_CASE(handler_is_notified_of_a_disconnected_caller, server_fixture)
{
    handler.hold_responses = true;
    raw_client client(*this, port);
    client.send("GET /one HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(run_until([&] { return handler.pending_callbacks.size() == 1; }));
    client.close();
    BOOST_TEST(run_until([&] { return handler.callers_gone == 1; }));
    BOOST_TEST(server.open_connections() == 0U);
}

// Guards against a stop that aborts requests in progress, and against connections that stay open afterwards.
BOOST_FIXTURE_TEST_CASE(responses_close_their_connections_while_closing, server_fixture)
{
    handler.hold_responses = true;
    raw_client client(*this, port);
    client.send("GET /one HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(run_until([&] { return handler.pending_callbacks.size() == 1; }));
    server.begin_closing();
    handler.pending_callbacks.begin()->second({200, {}, "late"});
    BOOST_TEST(client.ended());
    BOOST_TEST(client.bytes().find("Connection: close") != std::string::npos);
    BOOST_TEST(client.bytes().ends_with("late"));
}

// Guards against losing a request that was already received when finish() is called, which would end with the process.
BOOST_FIXTURE_TEST_CASE(finish_completes_requests_already_received, server_fixture)
{
    handler.hold_responses = true;
    raw_client idle(*this, port);
    raw_client busy(*this, port);
    raw_client receiving(*this, port);
    busy.send("GET /one HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(run_until([&] { return handler.pending_callbacks.size() == 1 && server.open_connections() == 3; }));
    receiving.send("GET /two HTTP/1.1\r\nHost: a\r\n\r\n");
    server.finish();
    BOOST_TEST(idle.ended());
    BOOST_TEST(run_until([&] { return handler.pending_callbacks.size() == 2; }));
    for (auto& [id, done] : handler.pending_callbacks)
        done({200, {}, "whole"});
    BOOST_TEST(busy.ended());
    BOOST_TEST(receiving.ended());
    BOOST_TEST(busy.bytes().ends_with("whole"));
    BOOST_TEST(receiving.bytes().ends_with("whole"));
}

// Guards against reporting a stop while responses are outstanding, and against never reporting it.
BOOST_FIXTURE_TEST_CASE(stop_is_reported_once_all_connections_are_closed, server_fixture)
{
    handler.hold_responses = true;
    raw_client busy(*this, port);
    busy.send("GET /one HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(run_until([&] { return handler.pending_callbacks.size() == 1; }));
    int stops = 0;
    server.stop([&] { ++stops; });
    for (int turn = 0; turn < 5; ++turn)
        loop.context().poll();
    BOOST_TEST(stops == 0);
    handler.pending_callbacks.begin()->second({200, {}, "whole"});
    BOOST_TEST(run_until([&] { return stops == 1; }));
    BOOST_TEST(busy.bytes().ends_with("whole"));
    http1_server unused(loop, handler);
    unused.stop([&] { ++stops; });
    BOOST_TEST(run_until([&] { return stops == 2; }));
}

// Guards against a body in the response to HEAD, and against a length field in a 204 response.
BOOST_FIXTURE_TEST_CASE(responses_without_a_body, server_fixture)
{
    raw_client client(*this, port);
    client.send("HEAD /one HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(client.received("Content-Length: 12\r\n"));
    BOOST_TEST(client.bytes().find("body of") == std::string::npos);
    handler.hold_responses = true;
    client.send("GET /two HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(run_until([&] { return handler.pending_callbacks.size() == 1; }));
    handler.pending_callbacks.begin()->second({204, {}, ""});
    BOOST_TEST(client.received("204 No Content\r\n\r\n"));
}

// Guards against leaving a caller waiting that sends its body only after 100 Continue.
BOOST_FIXTURE_TEST_CASE(expect_100_continue_is_confirmed, server_fixture)
{
    raw_client client(*this, port);
    client.send("POST /one HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    BOOST_TEST(client.received("100 Continue\r\n\r\n"));
    client.send("abc");
    BOOST_TEST(client.received("body of /one"));
}

// Guards against bodies without an announced length that exceed the limit of buffered bodies, and against a limit that
// is not released.
BOOST_FIXTURE_TEST_CASE(chunked_bodies_count_towards_the_limit, server_fixture)
{
    const std::string head = "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "1f4\r\n" + std::string(500, 'b') + "\r\n";
    raw_client first(*this, port);
    raw_client second(*this, port);
    first.send(head + chunk);
    bool is_later = false;
    timers.schedule(std::chrono::milliseconds(100), [&] { is_later = true; });
    BOOST_TEST(run_until([&] { return is_later; }));
    second.send(head + chunk);
    BOOST_TEST(second.received("HTTP/1.1 503"));
    first.send("0\r\n\r\n");
    BOOST_TEST(first.received("HTTP/1.1 200"));
    raw_client third(*this, port);
    third.send(head + chunk + "0\r\n\r\n");
    BOOST_TEST(third.received("HTTP/1.1 200"));
}

// Guards against a request whose chunk extension never ends and fills the memory.
BOOST_FIXTURE_TEST_CASE(chunk_extensions_without_end_are_refused, server_fixture)
{
    raw_client caller(*this, port);
    caller.send("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;x=" + std::string(200000, 'e'));
    BOOST_TEST(caller.received("HTTP/1.1 400"));
    BOOST_TEST(handler.requests.empty());
}

// Guards against requests of connections that the system has accepted but the server has not: closing the listening
// socket reset them without a response.
BOOST_FIXTURE_TEST_CASE(finish_serves_the_backlog, server_fixture)
{
    raw_client caller(*this, port);
    caller.send("GET /p HTTP/1.1\r\nHost: h\r\n\r\n");
    // The loop has not run, so the server has not accepted the connection yet.
    server.finish();
    BOOST_TEST(caller.received("HTTP/1.1 200"));
    BOOST_TEST(caller.received("Connection: close"));
}

} // namespace mulberry
