#include "auto/processes/fleet.h"

#include <boost/test/unit_test.hpp>

namespace mulberry::processes {

namespace {

standin::response ask(std::uint16_t port, const std::string& wire)
{
    const auto link = standin::connection::to(port);
    if (!link || !link->write(wire))
        return {};
    return link->read_response(standin::clock::now() + standin::milliseconds(20'000));
}

} // namespace

// Guards against a cut response that looks complete: the target answers an upload before it has read it, without a
// length, and resets the connection while the upload is being written.
BOOST_AUTO_TEST_CASE(early_answer_that_is_reset)
{
    early_target target;
    fleet_limits limits;
    limits.memory_mib = 160;
    limits.far_target = target.port();
    sidecar_fleet fleet(limits);
    const std::string body(8 * mebibyte, 'x');
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const auto upload = [&] {
        return ask(fleet.near().callers(), request_head("POST", "/far-once/up", length) + body);
    };
    BOOST_REQUIRE(wait_until([&] { return upload().status != 503; })); // the target is not known at once
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(upload().status == 502);
    BOOST_TEST(is_answered(fleet.near().callers(), "/near/ok"));
}

// Guards against responses whose head is malformed being passed on.
BOOST_AUTO_TEST_CASE(unsound_heads)
{
    sidecar_fleet fleet;
    const std::string rest = "Content-Length: 2\r\n\r\nok";
    const std::string line = "HTTP/1.1 200 OK\r\n";
    fleet.far().target().raw_answers = {
        "HTTP/1.1 000 None\r\n" + rest,
        "HTTP/1.1 099 Low\r\n" + rest,
        "HTTP/1.1 600 High\r\n" + rest,
        "HTTP/1.1 999 High\r\n" + rest,
        "HTTP/1.1 2000 Long\r\n" + rest,
        "HTTP/1.1 20 Short\r\n" + rest,
        "HTTP/1.1\r\n" + rest,
        line + "X Field: v\r\n" + rest,
        line + "X-Field : v\r\n" + rest,
        line + "X\tField: v\r\n" + rest,
        line +
            "X\x01"
            "Field: v\r\n" +
            rest,
        line + "X\x7f: v\r\n" + rest,
        line + ": v\r\n" + rest,
        line + "X-Field: a\x01z\r\n" + rest,
        line + "X-Field: a\x7fz\r\n" + rest,
        line + std::string("X-Field: a\0z\r\n", 14) + rest,
        line + "X-Field: a\rz\r\n" + rest,
        line + "X-Field: a\nY: z\r\n" + rest,
        line + "X-Field: a\r\n folded\r\n" + rest,
        line + " X-Field: a\r\n" + rest,
        line + "no field\r\n" + rest,
        line + "Content-Length: 3\r\n" + rest,
        line + "Content-Length: +2\r\n\r\nok",
        line + "Content-Length: 2, 2\r\n\r\nok",
        line + "Content-Length: 99999999999999999999\r\n\r\nok",
        line + "Transfer-Encoding: chunked\r\n" + rest,
        line + "Transfer-Encoding: gzip\r\n\r\nok",
        line + "Transfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n",
        line + "Transfer-Encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n",
        line + "Transfer-Encoding: chunked\r\n\r\n10000000000000002\r\nok\r\n0\r\n\r\n",
        line + "Transfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
    };
    const std::vector<std::string>& answers = fleet.far().target().raw_answers;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        // With and without another process between the caller and the process beside the target.
        for (const std::uint16_t port : {fleet.near().callers(), fleet.far().callers()}) {
            const standin::response got = ask(port, request_head("GET", "/far/raw/" + std::to_string(i)));
            BOOST_TEST(got.status == 502, answers[i] << " was passed on as " << got.status << " " << got.body);
        }
    }
    BOOST_TEST(is_answered(fleet.near().callers(), "/far/ok"));
}

} // namespace mulberry::processes
