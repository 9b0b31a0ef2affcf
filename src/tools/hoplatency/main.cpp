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

/// Latencies of the calls over one path, in microseconds.
struct latency_samples {
    std::vector<double> values;
    /// Failed calls, including those of the warm-up.
    int failed = 0;

    /// Returns the given percentile as a fraction, such as 0.99; sorts the values.
    double percentile(double fraction)
    {
        if (values.empty())
            return 0;
        std::ranges::sort(values);
        const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
        return values[index];
    }
};

/// Sends requests alternately to the upstream and through the daemon, one at a time, so that both paths are measured
/// under the same load of the machine. The first tenth of the requests is a warm-up without measurement.
class latency_comparison {
public:
    explicit latency_comparison(const options& settings) : m_options(settings), m_client(m_loop) {}

    void run()
    {
        next();
        m_loop.run();
    }

    latency_samples direct;
    latency_samples through;

private:
    void next()
    {
        const int warm_up = m_options.count / 10;
        if (m_sent >= 2 * (m_options.count + warm_up))
            return m_loop.stop();
        const bool is_direct = m_sent % 2 == 0;
        const bool is_measured = m_sent >= 2 * warm_up;
        ++m_sent;
        mulberry::http_request request;
        request.method = "GET";
        request.url = is_direct ? m_options.direct : m_options.through;
        request.headers = {{"Authorization", "Bearer " + m_options.key}};
        const auto start = steady::now();
        m_client.send(std::move(request), [this, is_direct, is_measured, start](auto result) {
            const std::chrono::duration<double, std::micro> elapsed = steady::now() - start;
            latency_samples& path_samples = is_direct ? direct : through;
            constexpr int status_ok = 200;
            if (!result || result->status != status_ok) {
                ++path_samples.failed;
            }
            else if (is_measured) {
                path_samples.values.push_back(elapsed.count());
            }
            next();
        });
    }

    options m_options;
    mulberry::event_loop m_loop;
    mulberry::curl_http_client m_client;
    int m_sent = 0;
};

void print_row(const char* name, latency_samples& path_samples)
{
    constexpr double median = 0.5;
    constexpr double tail = 0.99;
    fmt::print("| {} | {} | {} | {:.0f} | {:.0f} |\n", name, path_samples.values.size(), path_samples.failed,
               path_samples.percentile(median), path_samples.percentile(tail));
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    options settings;
    po::options_description description("Compares the latency of a direct call with one through a daemon");
    description.add_options()("help", "Shows this text.")("direct", po::value(&settings.direct)->required(),
                                                          "URL of the upstream.")(
        "through", po::value(&settings.through)->required(),
        "URL of the entry.")("key", po::value(&settings.key)->default_value(""), "Key of an organisation.")(
        "count", po::value(&settings.count)->default_value(settings.count), "Measured requests per path.");
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
    latency_comparison comparison(settings);
    comparison.run();
    fmt::print("| way | answered | failed | p50 us | p99 us |\n|---|---|---|---|---|\n");
    print_row("direct", comparison.direct);
    print_row("through entry and guard", comparison.through);
    constexpr double median = 0.5;
    constexpr double tail = 0.99;
    fmt::print("| added | | | {:.0f} | {:.0f} |\n",
               comparison.through.percentile(median) - comparison.direct.percentile(median),
               comparison.through.percentile(tail) - comparison.direct.percentile(tail));
    return comparison.direct.failed + comparison.through.failed == 0 ? 0 : 1;
}
