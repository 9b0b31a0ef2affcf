#include "libs/eventloop/eventloop.h"

#include "libs/base/log.h"

#include <exception>

namespace mulberry {

event_loop::event_loop() : m_work(boost::asio::make_work_guard(m_context)) {}

void event_loop::run()
{
    m_thread = std::this_thread::get_id();
    m_context.restart();
    while (!run_until_exception()) {
    }
    m_thread = std::thread::id{};
}

bool event_loop::run_until_exception()
{
    try {
        m_context.run();
        return true;
    }
    catch (const std::exception& error) {
        log_error("loop", "A callback ended with an exception: {}.", error.what());
    }
    return false;
}

void event_loop::stop()
{
    // A direct stop before run() would be undone by the restart() in run(), so the stop is posted as a task.
    boost::asio::post(m_context, [this] { m_context.stop(); });
}

} // namespace mulberry
