#pragma once

#include "libs/base/controllink.h"
#include "libs/base/timerservice.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace mulberry {

/// Timers of one node that can be paused like those of a stopped VM: callbacks that are due during the pause run when
/// it ends.
class pausable_timers final : public timer_service {
public:
    explicit pausable_timers(timer_service& timers) : m_timers(timers) {}
    ~pausable_timers() override
    {
        for (const auto& [id, callback] : m_callbacks)
            m_timers.cancel(id);
    }

    time_point now() const override { return m_timers.now(); }

    timer_id schedule(duration delay, std::function<void()> callback) override
    {
        auto id = std::make_shared<timer_id>(0);
        *id = m_timers.schedule(delay, [this, id] { run(*id); });
        m_callbacks.emplace(*id, std::move(callback));
        return *id;
    }

    void cancel(timer_id id) override
    {
        m_timers.cancel(id);
        m_callbacks.erase(id);
    }

    bool is_paused() const { return m_paused; }
    void pause() { m_paused = true; }
    void resume()
    {
        m_paused = false;
        for (const timer_id id : std::exchange(m_deferred, {}))
            run(id);
    }

private:
    void run(timer_id id)
    {
        if (m_paused) {
            m_deferred.push_back(id);
            return;
        }
        const auto it = m_callbacks.find(id);
        if (it == m_callbacks.end())
            return;
        const auto callback = std::move(it->second);
        m_callbacks.erase(it);
        callback();
    }

    timer_service& m_timers;
    std::map<timer_id, std::function<void()>> m_callbacks;
    std::vector<timer_id> m_deferred;
    bool m_paused = false;
};

/// Defers the messages to a paused node until it resumes.
class pausable_handler final : public control_handler {
public:
    pausable_handler(const pausable_timers& timers, control_handler& next) : m_timers(timers), m_next(next) {}

    void on_message(std::string_view from, std::string_view payload) override
    {
        if (!m_timers.is_paused())
            return m_next.on_message(from, payload);
        m_deferred.emplace_back(from, payload);
    }

    void resume()
    {
        for (const auto& [from, payload] : std::exchange(m_deferred, {}))
            m_next.on_message(from, payload);
    }

private:
    const pausable_timers& m_timers;
    control_handler& m_next;
    std::vector<std::pair<std::string, std::string>> m_deferred;
};

} // namespace mulberry
