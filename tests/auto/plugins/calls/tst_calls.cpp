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
    return request;
}

call_answer sample_answer()
{
    call_answer answer;
    answer.receiver = "stores-1";
    answer.sequence = 9;
    answer.result = outcome::ran;
    answer.status = 201;
    answer.body = "ticket";
    answer.load.threshold = importance::normal;
    answer.load.admitted_share = 0.5F;
    answer.downstream = {{"workbench", 0.25F}};
    return answer;
}

bool is_refused(const call_request& request)
{
    return !decode_call_request(encode(request));
}

bool is_refused(const call_answer& answer)
{
    return !decode_call_answer(encode(answer));
}

} // namespace

// Guards against a field that is lost or changed on the way between nodes.
BOOST_AUTO_TEST_CASE(messages_survive_the_codec)
{
    const call_request request = sample_request();
    const auto decoded = decode_call_request(encode(request));
    BOOST_REQUIRE(decoded);
    BOOST_TEST((decoded->attempt == request.attempt));
    BOOST_TEST((decoded->headers == request.headers));
    BOOST_TEST((decoded->remaining == request.remaining));
    BOOST_TEST((decoded->level == request.level));
    BOOST_TEST(decoded->repeat_share == request.repeat_share);
    BOOST_TEST(decoded->receiver == request.receiver);
    BOOST_TEST(decoded->body == request.body);
    call_answer answer = sample_answer();
    answer.reason = refusal_reason::key_missing; // the first enumerator must differ from "no reason"
    const auto read = decode_call_answer(encode(answer));
    BOOST_REQUIRE(read);
    BOOST_TEST((read->reason == answer.reason));
    BOOST_TEST((read->load == answer.load));
    BOOST_TEST((read->downstream == answer.downstream));
}

// Guards against values that a faulty or hostile peer could smuggle into the program.
BOOST_AUTO_TEST_CASE(unsound_requests_are_refused)
{
    const std::array<std::function<void(call_request&)>, 12> faults{
        [](call_request& r) { r.repeat_share = 1.5F; },
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
    for (const auto& spoil : faults) {
        call_request request = sample_request();
        spoil(request);
        BOOST_TEST(is_refused(request));
    }
}

// Guards against answers that would pair a wrong status or outcome with a request.
BOOST_AUTO_TEST_CASE(unsound_answers_are_refused)
{
    const std::array<std::function<void(call_answer&)>, 6> faults{
        [](call_answer& a) { a.status = 0; },
        [](call_answer& a) { a.status = 700; },
        [](call_answer& a) { a.result = static_cast<outcome>(7); },
        [](call_answer& a) { a.reason = static_cast<refusal_reason>(250); },
        [](call_answer& a) { a.load.admitted_share = 2; },
        [](call_answer& a) {
            a.headers = {{"Set-Cookie", "a\nb"}};
        },
    };
    for (const auto& spoil : faults) {
        call_answer answer = sample_answer();
        spoil(answer);
        BOOST_TEST(is_refused(answer));
    }
}

// Guards against a crash or a half-read message on truncated and random bytes.
BOOST_AUTO_TEST_CASE(damaged_bytes_never_pass_as_the_original)
{
    const std::string whole = encode(sample_request());
    seeded_random_source random(11);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        const auto decoded = decode_call_request(std::string_view(whole).substr(0, length));
        // Fields travel in the order of their numbers, so a cut message lacks the last ones.
        if (!decoded)
            continue;
        BOOST_TEST((decoded->body != sample_request().body || decoded->headers != sample_request().headers ||
                    decoded->receiver != sample_request().receiver));
    }
    for (int i = 0; i < 2000; ++i) {
        std::string damaged = whole;
        damaged[random.uniform(damaged.size())] = static_cast<char>(random.next());
        static_cast<void>(decode_call_request(damaged));
        static_cast<void>(decode_call_answer(damaged));
    }
}

// Guards against a key or an internal field that reaches an upstream or another node.
BOOST_AUTO_TEST_CASE(credentials_and_internal_fields_do_not_travel)
{
    const header_list sent{
        {"authorization", "Bearer secret"}, {"Proxy-Authorization", "x"},   {"MULBERRY-Context", "y"},
        {"mulberry-organisation", "other"}, {"Connection", "close, X-Hop"}, {"x-hop", "1"},
        {"Transfer-Encoding", "chunked"},   {"Content-Length", "3"},        {"Accept", "*/*"}};
    const header_list kept = forwardable(sent);
    BOOST_REQUIRE(kept.size() == 1U);
    BOOST_TEST(kept[0].first == "Accept");
}

} // namespace mulberry
