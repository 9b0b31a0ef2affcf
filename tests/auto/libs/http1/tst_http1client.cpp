#include "libs/http1/http1client.h"

#include "fakes/testeventloop.h"
#include "libs/base/asyncerror.h"

#include <deque>
#include <memory>
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
                                             respond(*peer);
                                         if (peer->socket.is_open())
                                             read(peer);
                                     });
    }

    void respond(connection& peer)
    {
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
            outcome = result ? std::to_string(result->status) + " " + result->body
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
    server.script = {valid_response, valid_response, valid_response};
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(get() == "200 ok");
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
