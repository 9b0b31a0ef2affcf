#include "tools/standincommon/stopsignals.h"
#include "tools/standinupstream/upstreamserver.h"

#include <csignal>
#include <cstdio>
#include <exception>

#include <curl/curl.h>
#include <fmt/format.h>
#include <unistd.h>

int main(int argc, char** argv)
{
    using namespace mulberry;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const upstream_command_line command_line = parse_upstream_command_line(arguments);
    if (!command_line.text.empty()) {
        fmt::print(command_line.valid ? stdout : stderr, "{}", command_line.text);
        return command_line.valid ? 0 : 2;
    }
    stop_signals signals;
    curl_global_init(CURL_GLOBAL_DEFAULT);
    try {
        upstream_server server(command_line.settings, [] { kill(getpid(), SIGTERM); });
        const std::uint16_t port = server.start();
        fmt::print("standinupstream: listening on {}:{}\n", command_line.settings.address, port);
        std::fflush(stdout);
        signals.wait();
        if (!server.drain_and_stop()) {
            fmt::print(stderr, "standinupstream: requests were still running at the drain limit\n");
            std::_Exit(1);
        }
    }
    catch (const std::exception& error) {
        fmt::print(stderr, "standinupstream: {}\n", error.what());
        return 1;
    }
    return 0;
}
