#pragma once

#include "libs/base/timerservice.h"

#include <functional>
#include <map>
#include <memory>
#include <tuple>
#include <vector>

namespace mulberry {

/// The timers of one fake node. They can be paused, which simulates a VM that is suspended and does not notice it. No
/// callback runs after this object is destroyed.
class node_timers final : public timer_service {
public:
    explicit node_timers(timer_service& backing) : m_backing(backing) {}
    ~node_timers() override;

    time_point now() const override { return m_backing.now(); }
    timer_id schedule(duration delay, std::function<void()> callback) override;
    void cancel(timer_id id) override;

    void pause() { m_paused = true; }
    /// Ends the pause and runs the callbacks that became due during it, in order.
    void resume();

    /// Wraps a callback from outside the node, so that it is deferred during a pause and dropped after the node is
    /// destroyed.
    template <typename... Args>
    std::function<void(Args...)> wrap_callback(std::function<void(Args...)> callback)
    {
        return [this, alive = std::weak_ptr<bool>(m_alive), callback = std::move(callback)](Args... args) {
            if (alive.expired())
                return;
            if (!m_paused)
                return callback(std::move(args)...);
            auto stored_arguments = std::make_shared<std::tuple<Args...>>(std::move(args)...);
            m_deferred.push_back([callback, stored_arguments] { std::apply(callback, std::move(*stored_arguments)); });
        };
    }

private:
    timer_service& m_backing;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::map<timer_id, timer_id> m_pending;
    std::vector<std::function<void()>> m_deferred;
    timer_id m_last_id = 0;
    bool m_paused = false;
};

} // namespace mulberry
