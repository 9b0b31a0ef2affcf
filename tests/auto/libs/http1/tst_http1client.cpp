#include "libs/http1/http1client.h"

#include "fakes/testeventloop.h"
#include "libs/base/asyncerror.h"

#include <deque>
#include <memory>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

/// Replies to each request with the next bytes of a script. "CLOSE" at the end of the bytes closes the connection,
/// "RESET" resets it.
class scripted_server {
public:
    explicit scripted_server(test_event_loop& server_loop)
        : m_acceptor(server_loop.loop.context(), {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
    }

    std::string url(const std::string& path) const
    {
        return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()) + path;
    }

    std::deque<std::string> script;
    std::vector<std::string> requests;
    int connections = 0;
    /// Sent without end after a response from the script; empty to send nothing.
    std::string endless;
    std::size_t endless_bytes = 0;
    bool closed_by_client = false;

private:
    struct connection {
        tcp::socket socket;
        std::array<char, 4096> buffer{};
        std::string pending;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (error)
                return;
            ++connections;
            read(std::make_shared<connection>(connection{std::move(socket), {}, {}}));
            accept();
        });
    }

    void read(const std::shared_ptr<connection>& peer)
    {
        peer->socket.async_read_some(boost::asio::buffer(peer->buffer),
                                     [this, peer](const boost::system::error_code& error, std::size_t count) {
                                         if (error)
                                             return;
                                         peer->pending.append(peer->buffer.data(), count);
                                         if (peer->pending.find("\r\n\r\n") != std::string::npos)
                                             respond(peer);
                                         if (peer->socket.is_open())
                                             read(peer);
                                     });
    }

    /// Sends the endless bytes again and again until the client has closed the connection.
    void write_endlessly(const std::shared_ptr<connection>& peer)
    {
        boost::asio::async_write(peer->socket, boost::asio::buffer(endless),
                                 [this, peer](const boost::system::error_code& error, std::size_t count) {
                                     endless_bytes += count;
                                     closed_by_client = static_cast<bool>(error);
                                     if (!error)
                                         write_endlessly(peer);
                                 });
    }

    void respond(const std::shared_ptr<connection>& shared_peer)
    {
        connection& peer = *shared_peer;
        requests.push_back(std::exchange(peer.pending, {}));
        if (script.empty())
            return;
        std::string bytes = script.front();
        script.pop_front();
        const bool closes = bytes.ends_with("CLOSE");
        const bool resets = bytes.ends_with("RESET");
        if (closes || resets)
            bytes.resize(bytes.size() - 5);
        boost::asio::write(peer.socket, boost::asio::buffer(bytes));
        if (!endless.empty())
            return write_endlessly(shared_peer);
        if (resets)
            peer.socket.set_option(boost::asio::socket_base::linger(true, 0));
        if (closes || resets)
            peer.socket.close();
    }

    tcp::acceptor m_acceptor;
};

struct client_fixture : test_event_loop {
    scripted_server server{*this};
    http1_client client{loop, timers};

    /// Sends a GET request and returns "STATUS body" or the name of the error.
    std::string get(bool repeatable = true, const std::string& id = "r-1")
    {
        http_request request;
        request.method = "GET";
        request.url = server.url("/p");
        request.headers = {{"X-Id", id}};
        request.echoed_field = "X-Id";
        request.timeout = 2s;
        request.repeatable = repeatable;
        std::string outcome;
        client.send(std::move(request), [&](leaf::result<http_response> result) {
            outcome = result ? std::to_string(result->status) + " " + std::string(result->body)
                             : std::string(to_string(error_of(std::move(result), http_error::too_large)));
        });
        run_until([&] { return !outcome.empty(); });
        return outcome;
    }
};

const std::string valid_response = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 2\r\n\r\nok";

} // namespace

// Guards against opening a new connection for each request.
BOOST_FIXTURE_TEST_CASE(connections_are_reused, client_fixture)
{
    for (const std::string id : {"r-1", "r-2", "r-3"}) {
        server.script = {"HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok"};
        BOOST_TEST(get(true, id) == "200 ok");
    }
    BOOST_TEST(server.connections == 1);
}

// Guards against accepting a response whose body is shorter than announced or belongs to another message.
BOOST_FIXTURE_TEST_CASE(incomplete_responses_are_errors, client_fixture)
{
    const std::vector<std::pair<std::string, std::string>> table{
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshortCLOSE", std::string(to_string(http_error::truncated))},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nCLOSE",
         std::string(to_string(http_error::truncated))},
        {"HTTP/1.1 200 OK\r\n\r\nto the endCLOSE", "200 to the end"},
        {"HTTP/1.1 200 OK\r\n\r\ncutRESET", std::string(to_string(http_error::truncated))},
        {"no answer at all\r\n\r\nCLOSE", std::string(to_string(http_error::connection_lost))},
        {"CLOSE", std::string(to_string(http_error::connection_lost))},
        {"HTTP/1.1 100 Continue\r\n\r\n" + valid_response, "200 ok"},
    };
    for (const auto& [bytes, expected] : table) {
        server.script = {bytes};
        BOOST_TEST(get() == expected, bytes);
    }
}

// Guards against delivering the response to an earlier request to a later one.
BOOST_FIXTURE_TEST_CASE(responses_to_other_requests_are_skipped, client_fixture)
{
    const std::string other_response = "HTTP/1.1 200 OK\r\nX-Id: r-0\r\nContent-Length: 5\r\n\r\nother";
    server.script = {other_response + valid_response};
    BOOST_TEST(get() == "200 ok");
    server.script = {other_response + other_response + other_response + other_response};
    BOOST_TEST(get() == to_string(http_error::connection_lost));
}

// Guards against a refusal that the server sends once more on a kept connection: the next request, which the server has
// received, must not be reported as refused.
BOOST_FIXTURE_TEST_CASE(a_repeated_refusal_is_not_the_response_to_the_next_request, client_fixture)
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nX-Id: r-1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const std::string response = "HTTP/1.1 200 OK\r\nX-Id: r-2\r\nContent-Length: 2\r\n\r\nok";
    std::string refusal_without_id = refusal;
    refusal_without_id.erase(refusal.find("X-Id"), std::string("X-Id: r-1\r\n").size());

    server.script = {refusal, refusal + response};
    BOOST_TEST(get(true, "r-1") == "503 ");
    BOOST_TEST(get(true, "r-2") == "200 ok");
    BOOST_TEST(server.connections == 1);

    server.script = {refusal_without_id + response, refusal_without_id};
    BOOST_TEST(get(true, "r-3") == to_string(http_error::connection_lost));
    // No earlier request can be meant on a new connection.
    BOOST_TEST(get(true, "r-4") == "503 ");
}

// Guards against a repeated refusal that has the id of the request: it is sent again to the server that refused it.
BOOST_FIXTURE_TEST_CASE(a_request_is_not_sent_again_on_the_connection_of_its_refusal, client_fixture)
{
    const std::string refusal = "HTTP/1.1 421 Other\r\nX-Id: r-1\r\nContent-Length: 0\r\n\r\n";
    server.script = {refusal, valid_response};
    BOOST_TEST(get(true, "r-1") == "421 ");
    BOOST_TEST(get(true, "r-1") == "200 ok");
    BOOST_TEST(server.connections == 2);
}

// Guards against a response with an empty or short body: the server stopped within the header of its response.
BOOST_FIXTURE_TEST_CASE(a_response_whose_header_is_cut_is_an_error, client_fixture)
{
    const std::vector<std::string> headers{
        "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 2\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    };
    for (const std::string& header : headers) {
        for (std::size_t length = 0; length < header.size(); ++length) {
            server.script = {header.substr(0, length) + "CLOSE"};
            BOOST_TEST(!get().starts_with("2"), header.substr(0, length));
        }
    }
}

// Guards against passing on a response with a malformed head, or with a body that is not the server's.
BOOST_FIXTURE_TEST_CASE(responses_with_unsound_heads_are_errors, client_fixture)
{
    const std::string rest = "X-Id: r-1\r\nContent-Length: 2\r\n\r\nok";
    const std::string line = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::string> responses{
        "HTTP/1.1 000 None\r\n" + rest,
        "HTTP/1.1 099 Low\r\n" + rest,
        "HTTP/1.1 101 Switching\r\n" + rest,
        "HTTP/1.1 600 High\r\n" + rest,
        "HTTP/1.1 999 High\r\n" + rest,
        "HTTP/1.1 2000 Long\r\n" + rest,
        "HTTP/1.1 20 Short\r\n" + rest,
        "HTTP/1.1\r\n" + rest,
        "HTTP/2.0 200 OK\r\n" + rest,
        line + "X Field: v\r\n" + rest,
        line + "X-Field : v\r\n" + rest,
        line + "X\x01: v\r\n" + rest,
        line + "X-Field: a\x01z\r\n" + rest,
        line + "X-Field: a\x7fz\r\n" + rest,
        line + "X-Field: a\rz\r\n" + rest,
        line + "X-Field: a\nY: z\r\n" + rest,
        line + "X-Field: a\r\n Content-Length: 1\r\n" + rest,
        line + "X-Field: a\r\n\tfolded\r\n" + rest,
        line + " X-Field: a\r\n" + rest,
        line + "no field\r\n" + rest,
        line + "Content-Length: 3\r\n" + rest,
        line + "Content-Length: 2, 2\r\nX-Id: r-1\r\n\r\nok",
        line + "Content-Length: +2\r\nX-Id: r-1\r\n\r\nok",
        line + "Transfer-Encoding: chunked\r\n" + rest,
        line + "Transfer-Encoding: gzip\r\nX-Id: r-1\r\n\r\nok",
        line + "Transfer-Encoding: chunked\r\nX-Id: r-1\r\n\r\n+2\r\nok\r\n0\r\n\r\n",
        line + "Transfer-Encoding: chunked\r\nX-Id: r-1\r\n\r\n-2\r\nok\r\n0\r\n\r\n",
        line + "Transfer-Encoding: chunked\r\nX-Id: r-1\r\n\r\n10000000000000002\r\nok\r\n0\r\n\r\n",
        line + "Transfer-Encoding: chunked\r\nX-Id: r-1\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
    };
    for (const std::string& response : responses) {
        server.script = {response + "CLOSE"};
        const std::string result = get();
        BOOST_TEST((result == to_string(http_error::truncated) || result == to_string(http_error::connection_lost)),
                   response << " was taken as " << result);
    }
    // Unknown interim responses are allowed.
    server.script = {"HTTP/1.1 199 Soon\r\n\r\n" + valid_response};
    BOOST_TEST(get() == "200 ok");
}

// Guards against a cut response that looks complete: the server responds without a length before it has read the
// request, and the reset of the connection is reported to the write of the request instead of the read.
BOOST_FIXTURE_TEST_CASE(an_early_response_that_is_reset_is_an_error, test_event_loop)
{
    for (const bool has_length : {false, true}) {
        http1_client client(loop, timers);
        tcp::acceptor acceptor(loop.context(), {boost::asio::ip::make_address("127.0.0.1"), 0});
        http_request request;
        request.method = "POST";
        request.url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/p";
        request.body = std::string(std::size_t{32} * 1024 * 1024, 'b');
        std::string outcome;
        client.send(std::move(request), [&](leaf::result<http_response> result) {
            outcome = result ? std::to_string(result->status)
                             : std::string(to_string(error_of(std::move(result), http_error::too_large)));
        });
        tcp::socket peer(loop.context());
        acceptor.async_accept(peer, [&](const boost::system::error_code&) {
            const std::string head =
                has_length ? "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" : "HTTP/1.1 200 OK\r\n\r\n";
            boost::asio::write(peer, boost::asio::buffer(head + "part"));
        });
        timers.schedule(200ms, [&] {
            peer.set_option(boost::asio::socket_base::linger(true, 0));
            peer.close();
        });
        BOOST_TEST(run_until([&] { return !outcome.empty(); }));
        BOOST_TEST(outcome == (has_length ? "200" : to_string(http_error::truncated)));
    }
}

// Guards against bytes that follow a complete response being read as the next response.
BOOST_FIXTURE_TEST_CASE(extra_bytes_close_the_connection, client_fixture)
{
    server.script = {valid_response + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", valid_response};
    BOOST_TEST(get() == "200 ok");
    BOOST_TEST(get() == "200 ok");
    BOOST_TEST(server.connections == 2);
}

// Guards against sending a request that is not repeatable on an idle connection that the server may already have
// closed.
BOOST_FIXTURE_TEST_CASE(idle_connections_are_reused_for_repeatable_requests_only, client_fixture)
{
    http1_client_settings settings;
    settings.unrepeatable_idle_limit = 0s;
    http1_client strict_client(loop, timers, settings);
    server.script = {valid_response, valid_response, valid_response};
    int responses = 0;
    for (const bool repeatable : {true, false, true}) {
        http_request request;
        request.method = "GET";
        request.url = server.url("/p");
        request.repeatable = repeatable;
        strict_client.send(std::move(request), [&](const leaf::result<http_response>&) { ++responses; });
        const int expected = responses + 1;
        BOOST_TEST(run_until([&] { return responses == expected; }));
    }
    BOOST_TEST(server.connections == 2);
}

// Guards against reporting a request to an unreachable server as possibly executed.
BOOST_FIXTURE_TEST_CASE(refused_connection_is_reported_as_not_sent, client_fixture)
{
    std::string outcome;
    http_request request;
    request.method = "GET";
    {
        scripted_server closed(*this);
        request.url = closed.url("/p");
    }
    client.send(std::move(request), [&](leaf::result<http_response> result) {
        outcome = to_string(error_of(std::move(result), http_error::too_large));
    });
    run_until([&] { return !outcome.empty(); });
    BOOST_TEST(outcome == to_string(http_error::not_sent));
}

// Guards against bytes without end, which exhaust the memory or the processor: each part of a response has a limit at
// which the connection is closed, long before the timeout of the request.
BOOST_FIXTURE_TEST_CASE(responses_without_end_are_cut_off, client_fixture)
{
    constexpr std::size_t max_bytes = std::size_t{16} * 1024 * 1024;
    const std::string block(8192, 'a');
    const std::vector<std::pair<std::string, std::string>> table{
        {"HTTP/1.1 200 O", block},                                                                // status line
        {"HTTP/1.1 200 OK\r\n", "X-Field: " + block.substr(0, 500) + "\r\n"},                     // header fields
        {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},                       // interim responses
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", block},                     // chunk extension
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-T: " + block + "\r\n"}, // trailers
        {"HTTP/1.1 200 OK\r\n\r\n", block},                                // body without a length
        {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", block}, // long body
    };
    http1_client_settings settings;
    settings.max_response_bytes = std::size_t{2} * 1024 * 1024;
    http1_client limited_client(loop, timers, settings);
    for (const auto& [begin, endless] : table) {
        server.script = {begin};
        server.endless = endless;
        server.endless_bytes = 0;
        server.closed_by_client = false;
        http_request request;
        request.method = "GET";
        request.url = server.url("/p");
        request.timeout = 60s;
        bool failed = false;
        limited_client.send(std::move(request), [&](const leaf::result<http_response>& result) { failed = !result; });
        BOOST_TEST(run_until([&] { return failed && server.closed_by_client; }), begin);
        BOOST_TEST(server.endless_bytes < max_bytes, begin);
    }
}

// Guards against several endless bodies that together exhaust the memory, and against a limit that is not released.
BOOST_FIXTURE_TEST_CASE(bodies_that_are_received_share_a_limit, client_fixture)
{
    http1_client_settings settings;
    settings.max_receiving_bytes = std::size_t{1} * 1024 * 1024;
    http1_client limited_client(loop, timers, settings);
    const std::string begin = "HTTP/1.1 200 OK\r\n\r\n";
    server.script = {begin, begin, begin, begin};
    server.endless = std::string(8192, 'a');
    int failures = 0;
    for (int i = 0; i < 4; ++i) {
        http_request request;
        request.method = "GET";
        request.url = server.url("/p");
        request.timeout = 60s;
        limited_client.send(std::move(request),
                            [&](const leaf::result<http_response>& result) { failures += !result; });
    }
    BOOST_TEST(run_until([&] { return failures == 4; }));
    server.endless.clear();
    server.script = {valid_response};
    bool succeeded = false;
    http_request request;
    request.method = "GET";
    request.url = server.url("/p");
    limited_client.send(std::move(request),
                        [&](const leaf::result<http_response>& result) { succeeded = static_cast<bool>(result); });
    BOOST_TEST(run_until([&] { return succeeded; }));
}

// Guards against a long response over a slow link that is cut off although it makes progress, and against one that
// makes none and is awaited without end.
BOOST_FIXTURE_TEST_CASE(a_response_may_take_longer_than_the_timeout_while_it_makes_progress, test_event_loop)
{
    for (const bool stalls : {false, true}) {
        http1_client client(loop, timers);
        tcp::acceptor acceptor(loop.context(), {boost::asio::ip::make_address("127.0.0.1"), 0});
        http_request request;
        request.method = "GET";
        request.url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/p";
        request.timeout = 300ms;
        request.stall_timeout = 300ms;
        std::string outcome;
        client.send(std::move(request), [&](leaf::result<http_response> result) {
            outcome = result ? std::string(result->body)
                             : std::string(to_string(error_of(std::move(result), http_error::too_large)));
        });
        tcp::socket peer(loop.context());
        const auto send = [&](const std::string& bytes) { boost::asio::write(peer, boost::asio::buffer(bytes)); };
        timers.schedule(50ms, [&] {
            acceptor.accept(peer);
            send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
        });
        for (int i = 1; i <= (stalls ? 2 : 4); ++i)
            timers.schedule(50ms + i * 150ms, [&] { send("x"); });
        BOOST_TEST(run_until([&] { return !outcome.empty(); }));
        BOOST_TEST(outcome == (stalls ? to_string(http_error::timed_out) : "xxxx"));
    }
}

// Guards against a use of the parser after its destruction, which ended the process: the timeout of a request fires
// while a read and a write of its connection have both completed, so that one of them is still queued.
BOOST_FIXTURE_TEST_CASE(a_timeout_beside_completed_transfers_is_harmless, test_event_loop)
{
    http1_client client(loop, timers);
    tcp::acceptor acceptor(loop.context(), {boost::asio::ip::make_address("127.0.0.1"), 0});
    http_request request;
    request.method = "POST";
    request.url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/p";
    request.body = std::string(std::size_t{32} * 1024 * 1024, 'b');
    request.timeout = 300ms;
    bool failed = false;
    client.send(std::move(request), [&](const leaf::result<http_response>& result) { failed = !result; });
    tcp::socket peer(loop.context());
    bool is_ready = false;
    timers.schedule(100ms, [&] {
        acceptor.accept(peer);
        is_ready = true;
    });
    BOOST_TEST(run_until([&] { return is_ready; }));
    timers.schedule(100ms, [&] {
        // The client can now read a part of a response and write more of its request, and its timeout has passed.
        std::vector<char> buffer(std::size_t{8} * 1024 * 1024);
        boost::asio::read(peer, boost::asio::buffer(buffer.data(), std::size_t{2} * 1024 * 1024));
        const std::string part = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nab";
        boost::asio::write(peer, boost::asio::buffer(part));
        std::this_thread::sleep_for(400ms);
    });
    BOOST_TEST(run_until([&] { return failed; }));
    bool is_later = false;
    timers.schedule(50ms, [&] { is_later = true; });
    BOOST_TEST(run_until([&] { return is_later; }));
}

// Guards against a request that runs twice: it was sent and then reported as not sent, because the connect timeout had
// expired during a suspension that ended after the connection was established.
BOOST_FIXTURE_TEST_CASE(an_expired_connect_timeout_does_not_end_a_sent_request, client_fixture)
{
    http1_client_settings settings;
    settings.connect_timeout = 50ms;
    for (int i = 0; i < 20; ++i) {
        http1_client impatient_client(loop, timers, settings);
        server.script = {valid_response};
        http_request request;
        request.method = "GET";
        request.url = server.url("/p");
        request.timeout = 2s;
        std::string outcome;
        impatient_client.send(std::move(request), [&](leaf::result<http_response> result) {
            outcome = result ? std::string(result->body)
                             : std::string(to_string(error_of(std::move(result), http_error::too_large)));
        });
        std::this_thread::sleep_for(60ms);
        BOOST_TEST(run_until([&] { return !outcome.empty(); }));
        BOOST_TEST(outcome == "ok");
    }
}

// Guards against a response that is given up although a part of it arrived in time: the time limit of the part before
// has expired during a suspension.
BOOST_FIXTURE_TEST_CASE(an_expired_stall_timeout_does_not_end_a_response_that_arrived, test_event_loop)
{
    http1_client client(loop, timers);
    tcp::acceptor acceptor(loop.context(), {boost::asio::ip::make_address("127.0.0.1"), 0});
    http_request request;
    request.method = "GET";
    request.url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/p";
    request.timeout = 100ms;
    request.stall_timeout = 100ms;
    std::string outcome;
    client.send(std::move(request), [&](leaf::result<http_response> result) {
        outcome = result ? std::string(result->body)
                         : std::string(to_string(error_of(std::move(result), http_error::too_large)));
    });
    tcp::socket peer(loop.context());
    const auto send = [&](const std::string& bytes) { boost::asio::write(peer, boost::asio::buffer(bytes)); };
    timers.schedule(20ms, [&] {
        acceptor.accept(peer);
        send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nx");
        std::this_thread::sleep_for(120ms);
    });
    timers.schedule(200ms, [&] { send("xx"); });
    BOOST_TEST(run_until([&] { return !outcome.empty(); }));
    BOOST_TEST(outcome == "xxx");
}

// Guards against reusing the connection of a cancelled request, and against calling its callback.
BOOST_FIXTURE_TEST_CASE(cancelled_request_closes_its_connection, client_fixture)
{
    bool called = false;
    http_request request;
    request.method = "GET";
    request.url = server.url("/p");
    const http_call_id id = client.send(std::move(request), [&](const leaf::result<http_response>&) { called = true; });
    BOOST_TEST(run_until([&] { return server.requests.size() == 1; }));
    client.cancel(id);
    server.script = {valid_response};
    BOOST_TEST(get() == "200 ok");
    BOOST_TEST(!called);
    BOOST_TEST(server.connections == 2);
}

} // namespace mulberry
