#include "libs/eventloop/eventloop.h"

namespace mulberry {

event_loop::event_loop() : m_work(boost::asio::make_work_guard(m_context)) {}

void event_loop::run()
{
    m_thread = std::this_thread::get_id();
    m_context.restart();
    m_context.run();
    m_thread = std::thread::id{};
}

void event_loop::stop()
{
    // A direct stop before run() would be undone by the restart() in run(), so the stop is posted as a task.
    boost::asio::post(m_context, [this] { m_context.stop(); });
}

} // namespace mulberry
