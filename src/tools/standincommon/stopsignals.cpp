#include "tools/standincommon/stopsignals.h"

#include <csignal>

namespace mulberry {

namespace {

sigset_t stop_signal_set()
{
    sigset_t set{};
    sigemptyset(&set);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGTERM);
    return set;
}

} // namespace

stop_signals::stop_signals()
{
    const sigset_t set = stop_signal_set();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void stop_signals::wait()
{
    const sigset_t set = stop_signal_set();
    int received = 0;
    sigwait(&set, &received);
}

} // namespace mulberry
