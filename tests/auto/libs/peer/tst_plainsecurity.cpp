#include "libs/base/asyncerror.h"
#include "libs/eventloop/eventloop.h"
#include "libs/peer/peerclient.h"
#include "libs/peer/peerserver.h"
#include "libs/peer/plainsecurity.h"

#include <chrono>
#include <string>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

struct echo_handler final : peer_handler {
    void on_call(peer_request request, std::shared_ptr<peer_responder> responder) override
    {
        ++calls;
        responder->respond(request.sender_name + ":" + std::string(request.payload));
    }

    int calls = 0;
};

struct plain_fixture {
    event_loop loop;
    echo_handler handler;
    std::shared_ptr<plain_security> server_security = std::make_shared<plain_security>("server");
    std::shared_ptr<plain_security> client_security = std::make_shared<plain_security>("client");
    peer_server server{loop, server_security, handler};
    peer_client client{loop, client_security};
    std::string address = "127.0.0.1:" + std::to_string(server.start("127.0.0.1", 0).value());

    std::string call()
    {
        std::string outcome;
        client.call("server", address, "/test", "hello", [&](leaf::result<message_body> result) {
            outcome = result ? *result
                             : "error: " + std::string(to_string(error_of(std::move(result), peer_error::not_sent)));
        });
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (outcome.empty() && std::chrono::steady_clock::now() < limit)
            loop.context().run_one_for(std::chrono::milliseconds(20));
        return outcome;
    }
};

} // namespace

// Guards against losing the name of the sender on the way to the handler.
BOOST_FIXTURE_TEST_CASE(calls_with_the_secret_carry_the_sender_name, plain_fixture)
{
    server_security->set_secret("fleet");
    client_security->set_secret("fleet");
    BOOST_TEST(call() == "client:hello");
}

// Guards against accepting calls of unauthenticated peers, and against a node that accepts calls before it has the
// secret.
BOOST_FIXTURE_TEST_CASE(calls_without_the_secret_are_refused, plain_fixture)
{
    BOOST_TEST(call() == "error: rejected");
    server_security->set_secret("fleet");
    BOOST_TEST(call() == "error: rejected");
    client_security->set_secret("other");
    BOOST_TEST(call() == "error: rejected");
    BOOST_TEST(handler.calls == 0);
}

} // namespace mulberry
