#include "libs/eventloop/eventloop.h"
#include "libs/http/curlhttpclient.h"
#include "libs/http/httpserver.h"
#include "libs/peer/peerclient.h"
#include "libs/peer/peerserver.h"
#include "tools/testcertificates/testauthority.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <iostream>
#include <thread>
#include <vector>

#include <boost/program_options.hpp>
#include <fmt/format.h>

namespace {

using namespace mulberry;
using clock_type = std::chrono::steady_clock;

struct options {
    std::size_t calls = 20'000;
    std::size_t warm_up = 1'000;
    std::size_t payload_bytes = 1'024;
};

/// Responds to a peer call with its payload.
class echo_peer final : public peer_handler {
public:
    void on_call(peer_request request, std::shared_ptr<peer_responder> responder) override
    {
        responder->respond(std::move(request.payload));
    }
};

/// Responds to an HTTP request with its body.
class echo_http final : public http_handler {
public:
    void on_request(http_server_request request, std::shared_ptr<http_responder> responder) override
    {
        responder->respond({200, {}, std::move(request.body)});
    }
};

/// Runs an event loop on its own thread, for the server of the measured calls.
class loop_thread {
public:
    loop_thread() : m_thread([this] { m_loop.run(); }) {}
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;
    ~loop_thread()
    {
        m_loop.stop();
        m_thread.join();
    }

    event_loop& loop() { return m_loop; }

    /// Runs a function on the event loop's thread and waits for its result.
    template <typename Function>
    auto run_on_loop(Function function)
    {
        std::packaged_task<std::invoke_result_t<Function>()> task(std::move(function));
        auto result = task.get_future();
        m_loop.post(std::move(task));
        return result.get();
    }

private:
    event_loop m_loop;
    std::thread m_thread;
};

/// Makes calls one after the other on an event loop and records the latency of each in microseconds.
class measurement {
public:
    using call = std::function<void(std::function<void(bool)>)>;

    measurement(event_loop& loop, const options& settings, call make_call)
        : m_loop(loop), m_settings(settings), m_call(std::move(make_call))
    {
        m_samples.reserve(settings.calls);
    }

    void run(const char* name)
    {
        m_loop.post([this] { next(); });
        m_loop.run();
        std::ranges::sort(m_samples);
        const auto percentile = [this](double fraction) {
            return m_samples[static_cast<std::size_t>(fraction * static_cast<double>(m_samples.size() - 1))];
        };
        fmt::print("{}: {} calls of {} bytes, p50 {:.1f} us, p99 {:.1f} us, {} failed\n", name, m_samples.size(),
                   m_settings.payload_bytes, percentile(0.50), percentile(0.99), m_failed_calls);
    }

private:
    void next()
    {
        const auto start = clock_type::now();
        m_call([this, start](bool succeeded) {
            const std::chrono::duration<double, std::micro> elapsed = clock_type::now() - start;
            m_failed_calls += succeeded ? 0 : 1;
            if (++m_completed_calls > m_settings.warm_up)
                m_samples.push_back(elapsed.count());
            if (m_samples.size() == m_settings.calls) {
                m_loop.stop();
            }
            else {
                next();
            }
        });
    }

    event_loop& m_loop;
    options m_settings;
    call m_call;
    std::size_t m_completed_calls = 0;
    std::size_t m_failed_calls = 0;
    std::vector<double> m_samples;
};

void measure_peer(const options& settings)
{
    test_authority authority;
    echo_peer handler;
    loop_thread server_thread;
    event_loop loop;
    auto server = std::make_unique<peer_server>(server_thread.loop(), authority.identity("server"), handler);
    const std::uint16_t port = server_thread.run_on_loop([&server] { return server->start("127.0.0.1", 0).value(); });
    const std::string address = fmt::format("127.0.0.1:{}", port);
    const std::string payload(settings.payload_bytes, 'x');
    peer_client client(loop, authority.identity("client"));
    measurement(loop, settings, [&](std::function<void(bool)> done) {
        client.call(
            "server", address, "/echo", payload,
            [done = std::move(done)](const leaf::result<message_body>& answer) { done(static_cast<bool>(answer)); });
    }).run("peer call");
    server_thread.run_on_loop([&server] { server.reset(); });
}

void measure_http(const options& settings)
{
    echo_http handler;
    loop_thread server_thread;
    event_loop loop;
    auto server = std::make_unique<http_server>(server_thread.loop(), handler);
    const std::uint16_t port = server_thread.run_on_loop([&server] { return server->start().value(); });
    http_request request;
    request.method = "POST";
    request.url = fmt::format("http://127.0.0.1:{}/echo", port);
    request.body = std::string(settings.payload_bytes, 'x');
    curl_http_client client(loop);
    measurement(loop, settings, [&](std::function<void(bool)> done) {
        client.send(request, [done = std::move(done)](const leaf::result<http_response>& answer) {
            done(static_cast<bool>(answer));
        });
    }).run("http call");
    server_thread.run_on_loop([&server] { server.reset(); });
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    options settings;
    po::options_description description("Latency of one call at a time over loopback");
    description.add_options()("help", "print this text");
    description.add_options()("calls", po::value(&settings.calls)->default_value(settings.calls), "measured calls");
    description.add_options()("warm-up", po::value(&settings.warm_up)->default_value(settings.warm_up),
                              "calls before the measured ones");
    description.add_options()("payload", po::value(&settings.payload_bytes)->default_value(settings.payload_bytes),
                              "bytes of each request and response");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    }
    catch (const po::error& error) {
        std::cerr << "peerlatency: " << error.what() << '\n';
        return 2;
    }
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    measure_peer(settings);
    measure_http(settings);
    return 0;
}
