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

    /// Runs callbacks on the calling thread until stop() is called. May be called again afterwards and then also runs
    /// the tasks that were posted in between. An exception that leaves a callback is logged and ends only that
    /// callback, because the other requests in progress do not depend on it.
    void run();

    /// Posts a task that makes run() return. May be called from any thread.
    void stop();

    /// Queues a task for the loop's thread; it never runs within this call. Tasks posted by one thread run in the order
    /// in which they were posted. May be called from any thread. The task may be move-only.
    template <typename Task>
    void post(Task&& task)
    {
        boost::asio::post(m_context, std::forward<Task>(task));
    }

    /// Returns whether the calling thread is the one that executes run().
    bool is_loop_thread() const { return m_thread.load() == std::this_thread::get_id(); }

    boost::asio::io_context& context() { return m_context; }

private:
    /// Returns false if a callback ended with an exception.
    bool run_until_exception();

    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::atomic<std::thread::id> m_thread;
};

} // namespace mulberry
