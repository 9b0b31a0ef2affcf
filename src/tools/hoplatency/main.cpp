#include "libs/eventloop/eventloop.h"
#include "libs/http/curlhttpclient.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fmt/ostream.h>

namespace {

using steady = std::chrono::steady_clock;

struct options {
    std::string direct;
    std::string through;
    std::string key;
    int count = 2000;
};

/// Latencies of one way, in microseconds.
struct samples {
    std::vector<double> values;
    int failed = 0;

    double percentile(double part)
    {
        if (values.empty())
            return 0;
        std::ranges::sort(values);
        const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
        return values[index];
    }
};

/// Sends requests to two URLs in turn, one at a time, so that both meet the same load of the machine.
class comparison {
public:
    explicit comparison(const options& wanted) : m_options(wanted), m_client(m_loop) {}

    void run()
    {
        next();
        m_loop.run();
    }

    samples direct;
    samples through;

private:
    void next()
    {
        const int warm_up = m_options.count / 10;
        if (m_sent >= 2 * (m_options.count + warm_up))
            return m_loop.stop();
        const bool is_direct = m_sent % 2 == 0;
        const bool counted = m_sent >= 2 * warm_up;
        ++m_sent;
        mulberry::http_request request;
        request.method = "GET";
        request.url = is_direct ? m_options.direct : m_options.through;
        request.headers = {{"Authorization", "Bearer " + m_options.key}};
        const auto start = steady::now();
        m_client.send(std::move(request), [this, is_direct, counted, start](auto result) {
            const std::chrono::duration<double, std::micro> took = steady::now() - start;
            samples& target = is_direct ? direct : through;
            constexpr int status_ok = 200;
            if (!result || result->status != status_ok) {
                ++target.failed;
            }
            else if (counted) {
                target.values.push_back(took.count());
            }
            next();
        });
    }

    options m_options;
    mulberry::event_loop m_loop;
    mulberry::curl_http_client m_client;
    int m_sent = 0;
};

void print_row(const char* name, samples& way)
{
    constexpr double median = 0.5;
    constexpr double high = 0.99;
    fmt::print("| {} | {} | {} | {:.0f} | {:.0f} |\n", name, way.values.size(), way.failed, way.percentile(median),
               way.percentile(high));
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    options wanted;
    po::options_description description("Compares the latency of a direct call with one through a daemon");
    description.add_options()("help", "Shows this text.")("direct", po::value(&wanted.direct)->required(),
                                                          "URL at the upstream.")(
        "through", po::value(&wanted.through)->required(),
        "URL at the entry.")("key", po::value(&wanted.key)->default_value(""), "Key of an organisation.")(
        "count", po::value(&wanted.count)->default_value(wanted.count), "Requests of each kind.");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.contains("help")) {
            fmt::print("{}\n", fmt::to_string(fmt::streamed(description)));
            return 0;
        }
        po::notify(values);
    }
    catch (const po::error& error) {
        fmt::print(stderr, "hoplatency: {}\n", error.what());
        return 2;
    }
    comparison run(wanted);
    run.run();
    fmt::print("| way | answered | failed | p50 us | p99 us |\n|---|---|---|---|---|\n");
    print_row("direct", run.direct);
    print_row("through entry and guard", run.through);
    constexpr double median = 0.5;
    constexpr double high = 0.99;
    fmt::print("| added | | | {:.0f} | {:.0f} |\n", run.through.percentile(median) - run.direct.percentile(median),
               run.through.percentile(high) - run.direct.percentile(high));
    return run.direct.failed + run.through.failed == 0 ? 0 : 1;
}
