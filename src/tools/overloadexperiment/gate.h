#pragma once

#include "plugins/admission/admissionqueue.h"

#include <deque>
#include <memory>

namespace mulberry {

/// What stands before the slots of an upstream.
class gate {
public:
    gate() = default;
    gate(const gate&) = delete;
    gate& operator=(const gate&) = delete;
    virtual ~gate() = default;

    virtual void offer(admission_request request) = 0;
    virtual void finished(const attempt_id& id, duration service_time, finish_result result) = 0;
    virtual load_report report(std::string_view organisation) const = 0;
};

/// The admission slice.
class admission_gate final : public gate {
public:
    admission_gate(admission_settings settings, timer_service& timers, admission_listener& listener)
        : m_queue(settings, timers, listener)
    {
    }

    void offer(admission_request request) override { m_queue.offer(std::move(request)); }
    void finished(const attempt_id& id, duration service_time, finish_result result) override
    {
        m_queue.finished(id, service_time, result);
    }
    load_report report(std::string_view organisation) const override { return m_queue.report(organisation); }

private:
    admission_queue m_queue;
};

/// Baseline: a first-in first-out queue before a fixed number of slots.
class fifo_gate final : public gate {
public:
    fifo_gate(std::size_t slots, std::size_t queue_limit, admission_listener& listener)
        : m_free(slots), m_queue_limit(queue_limit), m_listener(listener)
    {
    }

    void offer(admission_request request) override;
    void finished(const attempt_id& id, duration service_time, finish_result result) override;
    load_report report(std::string_view) const override { return {}; }

private:
    std::size_t m_free;
    std::size_t m_queue_limit;
    admission_listener& m_listener;
    std::deque<attempt_id> m_waiting;
};

} // namespace mulberry
