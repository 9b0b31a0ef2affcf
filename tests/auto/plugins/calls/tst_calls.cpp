#include "libs/base/asyncerror.h"
#include "libs/base/randomsource.h"
#include "plugins/calls/callcodec.h"
#include "plugins/calls/headerpolicy.h"

#include <array>
#include <functional>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

call_request sample_request()
{
    call_request request;
    request.attempt = {{"orders-1", 3}, 9};
    request.request_id = "orders-1-3-9";
    request.organisation = "kiosk";
    request.service = "stores";
    request.route = "reserve";
    request.level = importance::critical;
    request.remaining = std::chrono::milliseconds(80);
    request.retries = 2;
    request.receiver = "stores-1";
    request.repeat_share = 0.25F;
    request.idempotency_key = "v1.stores-1.1.1.0";
    request.depth = 2;
    request.method = "POST";
    request.path = "/reserve?x=1";
    request.headers = {{"Accept", "text/plain"}, {"X-Bytes", std::string("\xff\x80", 2)}};
    request.body = std::string("\0body", 5);
    request.notice = {2.5, false};
    request.fingerprint = 77;
    return request;
}

call_response sample_response()
{
    call_response response;
    response.receiver = "stores-1";
    response.sequence = 9;
    response.result = outcome::ran;
    response.status = 201;
    response.body = "ticket";
    response.load.threshold = importance::normal;
    response.load.admitted_share = 0.5F;
    response.downstream = {{"workbench", 0.25F}};
    response.notice = {13.4, true};
    return response;
}

bool is_rejected(const call_request& request)
{
    return !decode_call_request(encode(request).joined());
}

bool is_rejected(const call_response& response)
{
    return !decode_call_response(encode(response).joined());
}

} // namespace

// Guards against a field that is lost or changed by encoding and decoding.
BOOST_AUTO_TEST_CASE(messages_round_trip_through_the_codec)
{
    const call_request request = sample_request();
    const auto decoded = decode_call_request(encode(request).joined());
    BOOST_REQUIRE(decoded);
    BOOST_TEST((decoded->attempt == request.attempt));
    BOOST_TEST((decoded->headers == request.headers));
    BOOST_TEST((decoded->remaining == request.remaining));
    BOOST_TEST((decoded->level == request.level));
    BOOST_TEST(decoded->repeat_share == request.repeat_share);
    BOOST_TEST(decoded->receiver == request.receiver);
    BOOST_TEST(decoded->body == request.body);
    BOOST_TEST((decoded->notice == request.notice));
    BOOST_TEST(decoded->fingerprint == request.fingerprint);
    call_response response = sample_response();
    response.reason = refusal_reason::key_missing; // the first enumerator must be distinguishable from "no reason"
    const auto decoded_response = decode_call_response(encode(response).joined());
    BOOST_REQUIRE(decoded_response);
    BOOST_TEST((decoded_response->reason == response.reason));
    BOOST_TEST((decoded_response->load == response.load));
    BOOST_TEST((decoded_response->downstream == response.downstream));
    BOOST_TEST((decoded_response->notice == response.notice));
}

// Guards against accepting invalid values from a faulty or hostile peer.
BOOST_AUTO_TEST_CASE(invalid_requests_are_rejected)
{
    const std::array<std::function<void(call_request&)>, 13> faults{
        [](call_request& r) { r.repeat_share = 1.5F; },
        [](call_request& r) { r.notice.rate_limit = -1; },
        [](call_request& r) { r.attempt.sender.name.clear(); },
        [](call_request& r) { r.attempt.sequence = 0; },
        [](call_request& r) { r.level = static_cast<importance>(9); },
        [](call_request& r) { r.remaining = duration{-1}; },
        [](call_request& r) { r.remaining = std::chrono::hours(48); },
        [](call_request& r) { r.retries = 1'000'000; },
        [](call_request& r) { r.depth = 0; },
        [](call_request& r) { r.path = "http://elsewhere/"; },
        [](call_request& r) { r.path = "/x HTTP/1.1\r\nHost: other"; },
        [](call_request& r) {
            r.headers = {{"X", "a\r\nAuthorization: b"}};
        },
        [](call_request& r) {
            r.headers = {{"", "a"}};
        },
    };
    for (const auto& corrupt : faults) {
        call_request request = sample_request();
        corrupt(request);
        BOOST_TEST(is_rejected(request));
    }
}

// Guards against accepting a response with an invalid status, outcome, reason, load or header.
BOOST_AUTO_TEST_CASE(invalid_responses_are_rejected)
{
    const std::array<std::function<void(call_response&)>, 7> faults{
        [](call_response& a) { a.status = 0; },
        [](call_response& a) { a.status = 700; },
        [](call_response& a) { a.result = static_cast<outcome>(7); },
        [](call_response& a) { a.reason = static_cast<refusal_reason>(250); },
        [](call_response& a) { a.load.admitted_share = 2; },
        [](call_response& a) { a.notice.rate_limit = -1; },
        [](call_response& a) {
            a.headers = {{"Set-Cookie", "a\nb"}};
        },
    };
    for (const auto& corrupt : faults) {
        call_response response = sample_response();
        corrupt(response);
        BOOST_TEST(is_rejected(response));
    }
}

// Guards against copies of long bodies: a message and the body in it share their bytes.
BOOST_AUTO_TEST_CASE(bodies_are_not_copied)
{
    call_request request = sample_request();
    request.body = std::string(100'000, 'b');
    const message_parts encoded = encode(request);
    BOOST_TEST((encoded.body.data() == request.body.data()));

    const message_body received = encoded.joined();
    const auto decoded = decode_call_request(received);
    BOOST_REQUIRE(decoded);
    BOOST_TEST((decoded->body == request.body));
    const char* const end_of_message = received.data() + received.size();
    BOOST_TEST((decoded->body.data() + decoded->body.size() == end_of_message));
}

// Guards against a decoder that depends on the position of the body: fields may come in any order.
BOOST_AUTO_TEST_CASE(the_body_may_come_before_other_fields)
{
    const message_parts encoded = encode(sample_request());
    constexpr std::size_t tag_and_length_bytes = 3;
    const std::string prefix = encoded.head.substr(encoded.head.size() - tag_and_length_bytes);
    const std::string fields = encoded.head.substr(0, encoded.head.size() - prefix.size());
    const auto decoded = decode_call_request(prefix + std::string(encoded.body) + fields);
    BOOST_REQUIRE(decoded);
    BOOST_TEST(decoded->body == sample_request().body);
    BOOST_TEST((decoded->headers == sample_request().headers));
}

// Guards against a crash on truncated and corrupted messages, and against decoding a truncated message to the original
// request.
BOOST_AUTO_TEST_CASE(truncated_messages_do_not_decode_to_the_original)
{
    const std::string encoded = encode(sample_request()).joined();
    seeded_random_source random(11);
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        const auto decoded = decode_call_request(encoded.substr(0, length));
        // Fields are encoded in the order of their numbers, so a truncated message lacks the last ones.
        if (!decoded)
            continue;
        BOOST_TEST((decoded->body != sample_request().body || decoded->headers != sample_request().headers ||
                    decoded->receiver != sample_request().receiver || decoded->notice != sample_request().notice ||
                    decoded->fingerprint != sample_request().fingerprint));
    }
    for (int i = 0; i < 2000; ++i) {
        std::string corrupted = encoded;
        corrupted[random.uniform(corrupted.size())] = static_cast<char>(random.next());
        static_cast<void>(decode_call_request(corrupted));
        static_cast<void>(decode_call_response(corrupted));
    }
}

// Guards against forwarding credentials, internal fields or connection-specific fields.
BOOST_AUTO_TEST_CASE(credentials_and_internal_fields_are_not_forwarded)
{
    const header_list received{
        {"authorization", "Bearer secret"}, {"Proxy-Authorization", "x"},   {"MULBERRY-Context", "y"},
        {"mulberry-organisation", "other"}, {"Connection", "close, X-Hop"}, {"x-hop", "1"},
        {"Transfer-Encoding", "chunked"},   {"Content-Length", "3"},        {"Accept", "*/*"}};
    const header_list forwarded = forwardable_headers(received);
    BOOST_REQUIRE(forwarded.size() == 1U);
    BOOST_TEST(forwarded[0].first == "Accept");
}

} // namespace mulberry
