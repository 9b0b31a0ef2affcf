#include "libs/eventloop/singleshottimer.h"

#include <algorithm>
#include <utility>

namespace mulberry {

single_shot_timer::single_shot_timer(const boost::asio::any_io_executor& executor) : m_timer(executor) {}

single_shot_timer::~single_shot_timer()
{
    cancel();
}

void single_shot_timer::start(duration delay, std::function<void()> callback)
{
    const std::uint64_t generation = ++*m_generation;
    m_timer.expires_after(std::max(delay, duration{0}));
    m_timer.async_wait(
        [current = m_generation, generation, callback = std::move(callback)](const boost::system::error_code& error) {
            if (!error && *current == generation)
                callback();
        });
}

void single_shot_timer::cancel()
{
    ++*m_generation;
    m_timer.cancel();
}

} // namespace mulberry
