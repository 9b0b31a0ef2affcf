#pragma once

#include "libs/base/timerservice.h"

#include <functional>
#include <map>
#include <memory>
#include <tuple>
#include <vector>

namespace mulberry {

/// The timers of one fake node. They can be paused, as when a VM is suspended without noticing, and no callback runs
/// after the node is gone.
class node_timers final : public timer_service {
public:
    explicit node_timers(timer_service& backing) : m_backing(backing) {}
    ~node_timers() override;

    time_point now() const override { return m_backing.now(); }
    timer_id schedule(duration delay, std::function<void()> callback) override;
    void cancel(timer_id id) override;

    void pause() { m_paused = true; }
    /// Runs everything that became due during the pause, in order.
    void resume();

    /// Wraps a callback that comes from outside, so that it waits for a pause and is dropped after the end of the node.
    template <typename... Args>
    std::function<void(Args...)> guard(std::function<void(Args...)> callback)
    {
        return [this, alive = std::weak_ptr<bool>(m_alive), callback = std::move(callback)](Args... args) {
            if (alive.expired())
                return;
            if (!m_paused)
                return callback(std::move(args)...);
            auto held = std::make_shared<std::tuple<Args...>>(std::move(args)...);
            m_due.push_back([callback, held] { std::apply(callback, std::move(*held)); });
        };
    }

private:
    timer_service& m_backing;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::map<timer_id, timer_id> m_pending;
    std::vector<std::function<void()>> m_due;
    timer_id m_last_id = 0;
    bool m_paused = false;
};

} // namespace mulberry
