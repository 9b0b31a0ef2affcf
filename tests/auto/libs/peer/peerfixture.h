#pragma once

#include "libs/base/asyncerror.h"
#include "libs/eventloop/eventloop.h"
#include "libs/peer/peerclient.h"
#include "libs/peer/peerserver.h"
#include "tools/testcertificates/testauthority.h"

#include <optional>

namespace mulberry {

/// Responds with the payload of the call unless a test sets another behaviour.
class scripted_handler final : public peer_handler {
public:
    using behaviour = std::function<void(peer_request, std::shared_ptr<peer_responder>)>;

    void on_call(peer_request request, std::shared_ptr<peer_responder> responder) override
    {
        ++calls;
        on_request(std::move(request), std::move(responder));
    }

    behaviour on_request = [](peer_request request, std::shared_ptr<peer_responder> responder) {
        responder->respond(std::move(request.payload));
    };
    int calls = 0;
};

/// A server "server" and a client "client" on one event loop. Waiting has no time limit; ctest ends a run that hangs.
struct peer_fixture {
    explicit peer_fixture(const peer_settings& limits = {}) : settings(limits)
    {
        server.emplace(loop, authority.identity("server"), handler, settings);
        address = "127.0.0.1:" + std::to_string(server->start("127.0.0.1", 0).value());
        client.emplace(loop, authority.identity("client"), settings);
    }

    template <typename Condition>
    void run_until(Condition condition)
    {
        while (!condition())
            loop.context().run_one();
    }

    /// Returns the payload of the response, or "error: " and the name of the error.
    static std::string text_of(leaf::result<message_body> result)
    {
        if (result)
            return std::string(*result);
        const auto error = error_of<peer_error, void>(std::move(result).error(), peer_error::listen_failed);
        return "error: " + std::string(to_string(error));
    }

    /// Starts a call and returns the place that receives the text of its outcome.
    std::shared_ptr<std::optional<std::string>> start_call(const std::string& to, const std::string& at,
                                                           std::string payload, peer_call_id* id = nullptr)
    {
        auto outcome = std::make_shared<std::optional<std::string>>();
        const peer_call_id new_id = client->call(to, at, "/test", std::move(payload), [outcome](auto result) {
            if (*outcome)
                throw std::logic_error("second response to one call");
            *outcome = text_of(std::move(result));
        });
        if (id != nullptr)
            *id = new_id;
        return outcome;
    }

    std::string call(const std::string& to, const std::string& at, std::string payload)
    {
        const auto outcome = start_call(to, at, std::move(payload));
        run_until([&] { return outcome->has_value(); });
        return **outcome;
    }

    std::string call(std::string payload) { return call("server", address, std::move(payload)); }

    test_authority authority;
    event_loop loop;
    scripted_handler handler;
    peer_settings settings;
    std::optional<peer_server> server;
    std::optional<peer_client> client;
    std::string address;
};

} // namespace mulberry
