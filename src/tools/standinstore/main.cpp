#include "tools/standincommon/stopsignals.h"
#include "tools/standinstore/gatewayserver.h"

#include <cstdio>
#include <exception>
#include <iostream>

#include <boost/program_options.hpp>
#include <fmt/format.h>

int main(int argc, char** argv)
{
    using namespace mulberry;
    namespace po = boost::program_options;
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    po::options_description options("Options");
    options.add_options()("help", "Shows this text.")("address", po::value(&address), "IPv4 address.")(
        "port", po::value(&port), "Port; 0, the default, selects a free one and prints it.");
    try {
        po::variables_map variables;
        const po::positional_options_description no_positional;
        po::store(po::command_line_parser(argc, argv).options(options).positional(no_positional).run(), variables);
        po::notify(variables);
        if (variables.contains("help")) {
            std::cout << "Usage: standinstore [options]\n\n" << options;
            return 0;
        }
    }
    catch (const std::exception& error) {
        fmt::print(stderr, "standinstore: {}\n", error.what());
        return 2;
    }
    stop_signals signals;
    try {
        gateway_server server;
        const std::uint16_t bound_port = server.start(address, port);
        fmt::print("standinstore: listening on {}:{}\n", address, bound_port);
        std::fflush(stdout);
        signals.wait();
    }
    catch (const std::exception& error) {
        fmt::print(stderr, "standinstore: {}\n", error.what());
        return 1;
    }
    return 0;
}
