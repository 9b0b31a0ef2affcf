#pragma once

#include <atomic>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace mulberry {

/// The single thread on which all callbacks of the daemon run.
class event_loop {
public:
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop() = default;

    /// Runs callbacks on the calling thread until stop() is called. May be called again afterwards; tasks that were
    /// posted in between are kept.
    void run();

    /// Makes run() return after the current callback. May be called from any thread.
    void stop();

    /// Queues a task for the loop; it never runs within this call. Tasks from one thread keep their order. May be
    /// called from any thread. The task may be movable only.
    template <typename Task>
    void post(Task&& task)
    {
        boost::asio::post(m_context, std::forward<Task>(task));
    }

    /// True on the thread that is inside run().
    bool runs_here() const { return m_thread.load() == std::this_thread::get_id(); }

    boost::asio::io_context& context() { return m_context; }

private:
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::atomic<std::thread::id> m_thread;
};

} // namespace mulberry
