#include "app/mulberryd/daemon.h"
#include "libs/base/asyncerror.h"
#include "libs/base/log.h"
#include "libs/memory/allocator.h"

#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

/// Begins a planned stop on SIGTERM and SIGINT.
class signal_handler {
public:
    signal_handler(mulberry::event_loop& loop, mulberry::daemon& daemon)
        : m_signals(loop.context(), SIGTERM, SIGINT), m_daemon(daemon)
    {
        wait();
    }

private:
    void wait()
    {
        m_signals.async_wait([this](const boost::system::error_code& error, int) {
            if (error)
                return;
            m_daemon.stop();
            wait();
        });
    }

    boost::asio::signal_set m_signals;
    mulberry::daemon& m_daemon;
};

int run(const mulberry::daemon_settings& settings)
{
    mulberry::set_log_level(settings.level);
    mulberry::return_freed_memory_to_system();
    mulberry::event_loop loop;
    mulberry::daemon daemon(settings, loop);
    const bool started = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(ports, daemon.start());
            // The only line on standard output. Scripts that start daemons on free ports read the port numbers from it.
            fmt::print(R"({{"callers":{},"nested":{},"peers":{},"operators":{}}})"
                       "\n",
                       ports.callers, ports.nested, ports.peers, ports.operators);
            std::fflush(stdout);
            return true;
        },
        [](mulberry::daemon_error error) {
            mulberry::log_error("daemon", "Start failed: {}.", to_string(error));
            return false;
        },
        [] { return false; });
    if (!started)
        return exit_failure;
    const signal_handler signals(loop, daemon);
    loop.run();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    auto parsed = mulberry::parse_daemon_command_line(arguments);
    if (!parsed) {
        fmt::print(stderr, "{}\n", to_string(mulberry::error_of(std::move(parsed), mulberry::document_errors{})));
        return exit_usage;
    }
    switch (parsed->requested_action) {
    case mulberry::daemon_command_line::action::show_help:
        fmt::print("{}", mulberry::daemon_usage());
        return exit_ok;
    case mulberry::daemon_command_line::action::show_settings_reference:
        fmt::print("{}", mulberry::settings_reference());
        return exit_ok;
    case mulberry::daemon_command_line::action::run:
        break;
    }
    return run(parsed->settings);
}
