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
    // Posted, so that a stop before run() is not undone by its restart().
    boost::asio::post(m_context, [this] { m_context.stop(); });
}

} // namespace mulberry
