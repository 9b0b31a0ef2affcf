#include "auto/libs/peer/peerfixture.h"
#include "auto/libs/peer/rawpeer.h"

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

namespace ssl = boost::asio::ssl;
using script = std::function<void(raw_connection&)>;

constexpr std::uint8_t headers_frame = 1;
constexpr std::uint8_t settings_frame = 4;
constexpr std::uint32_t refused_stream = 7;
constexpr std::uint32_t internal_error = 2;
constexpr std::size_t message_limit = 1000;

peer_settings test_settings()
{
    peer_settings settings;
    settings.max_message_bytes = message_limit;
    settings.connect_timeout = std::chrono::milliseconds(300);
    settings.ping_after = std::chrono::milliseconds(50);
    return settings;
}

struct fault_fixture : peer_fixture {
    fault_fixture() : peer_fixture(test_settings()) {}

    /// Checks that the handler received no call and that the server still serves valid calls.
    void check_server_still_serves()
    {
        BOOST_TEST(handler.calls == 0);
        BOOST_TEST(call("still here") == "still here");
        handler.calls = 0;
    }
};

/// Accepts the client's connection and call, sends SETTINGS and the given bytes, and continues reading if the
/// connection is to stay open.
script reply(std::string bytes, bool keep_open)
{
    return [bytes = std::move(bytes), keep_open](raw_connection& connection) {
        connection.handshake(ssl::stream_base::server);
        connection.write(raw::settings());
        connection.read_until_frame(headers_frame);
        connection.write(bytes);
        if (keep_open)
            connection.read_all();
    };
}

struct server_fault {
    const char* name;
    script behaviour;
    std::string expected;
    // Expected counters of the client after the call.
    std::uint64_t protocol_errors = 0;
    std::uint64_t oversized_messages = 0;
    std::uint64_t length_mismatches = 0;
};

const std::vector<server_fault>& server_faults()
{
    static const std::vector<server_fault> faults{
        {"closes before the handshake", [](raw_connection&) {}, "not_sent"},
        {"never performs the handshake", [](raw_connection& c) { c.read_all(); }, "not_sent"},
        {"closes after the handshake", [](raw_connection& c) { c.handshake(ssl::stream_base::server); }, "not_sent"},
        {"never sends SETTINGS",
         [](raw_connection& c) {
             c.handshake(ssl::stream_base::server);
             c.read_until_frame(settings_frame);
             c.read_all();
         },
         "not_sent"},
        {"closes after the call", reply("", false), "connection_lost"},
        {"stays silent after the call", reply("", true), "connection_lost"},
        {"closes within the response", reply(raw::response(1, "10") + raw::data(1, "half", false), false),
         "connection_lost", 0, 0, 1},
        {"resets within the response",
         reply(raw::response(1, "10") + raw::data(1, "half", false) + raw::reset(1, internal_error), true),
         "connection_lost", 0, 0, 1},
        {"resets as refused within the response",
         reply(raw::response(1, "10") + raw::data(1, "half", false) + raw::reset(1, refused_stream), true),
         "connection_lost", 0, 0, 1},
        {"ends the response early", reply(raw::response(1, "10") + raw::data(1, "half", true), true), "bad_answer", 1,
         0, 1},
        {"ends an empty response early", reply(raw::response(1, "10") + raw::data(1, "", true), true), "bad_answer", 1,
         0, 1},
        {"sends more than announced", reply(raw::response(1, "2") + raw::data(1, "longer", true), true), "bad_answer",
         1, 0, 1},
        {"announces no length", reply(raw::response(1, std::nullopt) + raw::data(1, "x", true), true), "bad_answer"},
        {"announces a length that is not a number", reply(raw::response(1, "ten") + raw::data(1, "x", true), true),
         "bad_answer", 1},
        {"announces too much", reply(raw::response(1, "1001") + raw::data(1, "x", false), true), "answer_too_large", 0,
         1},
        {"refuses the stream", reply(raw::reset(1, refused_stream), true), "refused"},
        {"reports that it processed no stream", reply(raw::goaway(0), true), "refused"},
        {"reports that it may have processed the stream", reply(raw::goaway(1), false), "connection_lost"},
        {"sends a frame of an impossible size", reply(raw::frame(settings_frame, 0, 0, "abc"), true), "connection_lost",
         1},
        {"sends no HTTP/2", reply(std::string(100, 'x'), true), "connection_lost", 1},
    };
    return faults;
}

struct client_fault {
    const char* name;
    std::string bytes;
    bool close_after_write = false;
    // Expected counters of the server after the message.
    std::uint64_t protocol_errors = 0;
    std::uint64_t oversized_messages = 0;
    std::uint64_t length_mismatches = 0;
};

const std::vector<client_fault>& client_faults()
{
    const std::string start = std::string(raw::preface) + raw::settings();
    static const std::vector<client_fault> faults{
        {"sends no HTTP/2", std::string(100, 'x'), false, 1},
        {"closes after the handshake", "", true},
        {"closes within the header block", start + raw::request(1, "4").substr(0, 12), true},
        {"closes within the payload", start + raw::request(1, "4") + raw::data(1, "ab", false), true},
        {"resets within the payload",
         start + raw::request(1, "4") + raw::data(1, "ab", false) + raw::reset(1, internal_error), true},
        {"ends the payload early", start + raw::request(1, "4") + raw::data(1, "ab", true), true, 1, 0, 1},
        {"sends more than announced", start + raw::request(1, "1") + raw::data(1, "ab", true), true, 1, 0, 1},
        {"announces no length", start + raw::request(1, std::nullopt) + raw::data(1, "ab", true), true, 1},
        {"announces too much", start + raw::request(1, "1001") + raw::data(1, "ab", false), true, 0, 1},
        {"announces more than a number holds",
         start + raw::request(1, "99999999999999999999999") + raw::data(1, "ab", true), true, 1},
        {"sends a frame of an impossible size", start + raw::frame(settings_frame, 0, 0, "abc"), false, 1},
        {"sends data on a stream that is not open", start + raw::data(1, "ab", true), false, 1},
        {"sends a broken header block", start + raw::frame(headers_frame, 5, 1, std::string(20, '\xff')), false, 1},
        {"opens a stream of the wrong side", start + raw::request(2, "0"), false, 1},
    };
    return faults;
}

} // namespace

// Guards against a fault of the called node being reported as a response or as "not sent" with certainty, and against
// effects on later calls of the client.
BOOST_AUTO_TEST_CASE(faults_of_the_called_node)
{
    for (const server_fault& fault : server_faults()) {
        BOOST_TEST_CONTEXT(fault.name)
        {
            fault_fixture fixture;
            const tls_identity identity = fixture.authority.identity("faulty");
            raw_server faulty_peer(identity.server_context(), fault.behaviour);
            BOOST_TEST(fixture.call("faulty", faulty_peer.address(), "x") == "error: " + fault.expected);
            BOOST_TEST(fixture.client->counters().protocol_errors == fault.protocol_errors);
            BOOST_TEST(fixture.client->counters().oversized_messages == fault.oversized_messages);
            BOOST_TEST(fixture.client->counters().length_mismatches == fault.length_mismatches);
            fixture.check_server_still_serves();
            fixture.client.reset();
        }
    }
}

// Guards against an invalid message that reaches the handler, is not counted or stops the server.
BOOST_AUTO_TEST_CASE(faults_of_the_calling_node)
{
    for (const client_fault& fault : client_faults()) {
        BOOST_TEST_CONTEXT(fault.name)
        {
            fault_fixture fixture;
            const tls_identity identity = fixture.authority.identity("faulty");
            {
                const raw_client faulty_peer(identity.client_context(), fixture.address, fault.bytes,
                                             fault.close_after_write);
                fixture.run_until([&] {
                    fixture.loop.post([] {});
                    return faulty_peer.done() && fixture.server->open_connections() == 0;
                });
            }
            BOOST_TEST(fixture.server->counters().protocol_errors == fault.protocol_errors);
            BOOST_TEST(fixture.server->counters().oversized_messages == fault.oversized_messages);
            BOOST_TEST(fixture.server->counters().length_mismatches == fault.length_mismatches);
            fixture.check_server_still_serves();
        }
    }
}

// Guards against a handler that continues to work for a caller that disappeared without closing its connection.
BOOST_FIXTURE_TEST_CASE(connection_of_a_silent_caller_is_closed, fault_fixture)
{
    const tls_identity identity = authority.identity("faulty");
    std::vector<std::shared_ptr<peer_responder>> pending_responders;
    int notifications = 0;
    handler.on_request = [&](const peer_request&, std::shared_ptr<peer_responder> responder) {
        responder->on_cancelled([&] { ++notifications; });
        pending_responders.push_back(std::move(responder));
    };
    const std::string bytes =
        std::string(raw::preface) + raw::settings() + raw::request(1, "1") + raw::data(1, "x", true);
    const raw_client silent_client(identity.client_context(), address, bytes, false);
    run_until([&] { return notifications == 1; });
    BOOST_TEST(server->counters().connections_lost == 1U);
    BOOST_TEST(handler.calls == 1);
}

// Guards against accepting the handshake of callers without a valid certificate of the trusted authority.
BOOST_FIXTURE_TEST_CASE(unauthenticated_peers_are_refused, fault_fixture)
{
    test_authority other_authority;
    const tls_identity other_identity = other_authority.identity("client");
    ssl::context anonymous(ssl::context::tls_client);
    ssl::context outdated(ssl::context::tls_client);
    const tls_files files = authority.issue({"client"});
    outdated.use_certificate_chain_file(files.certificate);
    outdated.use_private_key_file(files.key, ssl::context::pem);
    SSL_CTX_set_max_proto_version(outdated.native_handle(), TLS1_2_VERSION);
    SSL_CTX_set_verify(other_identity.client_context().native_handle(), SSL_VERIFY_NONE, nullptr);
    const std::string bytes =
        std::string(raw::preface) + raw::settings() + raw::request(1, "1") + raw::data(1, "x", true);
    std::uint64_t failures = 0;
    for (ssl::context* context : {&anonymous, &outdated, &other_identity.client_context()}) {
        const raw_client unauthenticated_client(*context, address, bytes, false);
        run_until([&] {
            loop.post([] {});
            return unauthenticated_client.done() && server->open_connections() == 0;
        });
        BOOST_TEST(server->counters().connections_failed == ++failures);
    }
    check_server_still_serves();
}

// Guards against accepting certificates that have no node name, several names or another node's name, or that have
// expired.
BOOST_AUTO_TEST_CASE(certificates_without_the_node_name_are_refused)
{
    struct bad_certificate {
        const char* name;
        std::vector<std::string> common_names;
        std::chrono::seconds valid_for;
    };
    const std::vector<bad_certificate> table{
        {"no common name", {}, std::chrono::hours(1)},
        {"two common names", {"server", "client"}, std::chrono::hours(1)},
        {"a zero byte in the name", {std::string("server\0x", 8)}, std::chrono::hours(1)},
        {"expired", {"server"}, std::chrono::seconds(-60)},
        {"another node's name", {"other"}, std::chrono::hours(1)},
    };
    for (const bad_certificate& row : table) {
        BOOST_TEST_CONTEXT(row.name)
        {
            fault_fixture fixture;
            const tls_files files = fixture.authority.issue(row.common_names, row.valid_for);
            ssl::context context(ssl::context::tls_server);
            context.use_certificate_chain_file(files.certificate);
            context.use_private_key_file(files.key, ssl::context::pem);
            SSL_CTX_set_alpn_select_cb(
                context.native_handle(),
                [](SSL*, const unsigned char** out, unsigned char* size, const unsigned char* in, unsigned int, void*) {
                    *out = in + 1;
                    *size = *in;
                    return SSL_TLSEXT_ERR_OK;
                },
                nullptr);
            raw_server faulty_peer(context, [](raw_connection& connection) {
                connection.handshake(ssl::stream_base::server);
                connection.write(raw::settings());
                connection.read_all();
            });
            BOOST_TEST(fixture.call("server", faulty_peer.address(), "x") == "error: not_sent");
            BOOST_TEST(fixture.client->counters().connections_failed == 1U);
            fixture.check_server_still_serves();
        }
    }
}

// Guards against reporting "may have been sent" when the server rejects the caller's certificate.
BOOST_FIXTURE_TEST_CASE(rejected_certificate_is_not_sent, fault_fixture)
{
    for (const tls_files& files :
         {authority.issue({"client"}, std::chrono::seconds(-60)), authority.issue({"a", "b"})}) {
        auto identity = tls_identity::load(files);
        if (!identity) {
            const auto found = error_of<tls_error, void>(std::move(identity).error(), tls_error::bad_ca);
            BOOST_TEST((found == tls_error::no_common_name));
            continue;
        }
        client.emplace(loop, *identity, settings);
        BOOST_TEST(call("x") == "error: not_sent");
    }
    BOOST_TEST(handler.calls == 0);
}

// Guards against configuration errors that are reported as a different error or only at the first connection.
BOOST_FIXTURE_TEST_CASE(invalid_files_are_reported, fault_fixture)
{
    const tls_files valid_files = authority.issue({"node"});
    const tls_files other_files = authority.issue({"other"});
    const std::vector<std::pair<tls_files, tls_error>> table{
        {{"/missing", valid_files.certificate, valid_files.key}, tls_error::bad_ca},
        {{valid_files.key, valid_files.certificate, valid_files.key}, tls_error::bad_ca},
        {{valid_files.ca, "/missing", valid_files.key}, tls_error::bad_certificate},
        {{valid_files.ca, valid_files.certificate, "/missing"}, tls_error::bad_key},
        {{valid_files.ca, valid_files.certificate, valid_files.certificate}, tls_error::bad_key},
        {{valid_files.ca, valid_files.certificate, other_files.key}, tls_error::key_mismatch},
    };
    for (const auto& [files, expected] : table) {
        auto loaded = tls_identity::load(files);
        BOOST_REQUIRE(!loaded);
        const auto found = error_of<tls_error, void>(std::move(loaded).error(), tls_error::no_common_name);
        BOOST_TEST(to_string(found) == to_string(expected));
    }
}

// Guards against announced payloads that make a server use more memory than its limit.
BOOST_AUTO_TEST_CASE(receiving_memory_is_bounded)
{
    peer_settings settings = test_settings();
    settings.max_receiving_bytes = 500;
    peer_fixture fixture(settings);
    BOOST_TEST(fixture.call(std::string(501, 'x')) == "error: refused");
    BOOST_TEST((fixture.call(std::string(500, 'x')) == std::string(500, 'x')));
    BOOST_TEST((fixture.call(std::string(500, 'x')) == std::string(500, 'x')));
    BOOST_TEST(fixture.handler.calls == 2);
}

} // namespace mulberry
