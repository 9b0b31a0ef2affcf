#pragma once

#include "plugins/admission/admissionqueue.h"

#include <deque>
#include <memory>

namespace mulberry {

/// Queue of requests before the slots of an upstream.
class request_queue {
public:
    request_queue() = default;
    request_queue(const request_queue&) = delete;
    request_queue& operator=(const request_queue&) = delete;
    virtual ~request_queue() = default;

    virtual void offer(admission_request request) = 0;
    virtual void on_finished(const attempt_id& id, duration service_time, finish_result result) = 0;
    virtual load_report report(std::string_view organisation) const = 0;
};

/// The queue of the admission plugin.
class admission_request_queue final : public request_queue {
public:
    admission_request_queue(admission_settings settings, timer_service& timers, admission_listener& listener)
        : m_queue(settings, timers, listener)
    {
    }

    void offer(admission_request request) override { m_queue.offer(std::move(request)); }
    void on_finished(const attempt_id& id, duration service_time, finish_result result) override
    {
        m_queue.finished(id, service_time, result);
    }
    load_report report(std::string_view organisation) const override { return m_queue.report(organisation); }

private:
    admission_queue m_queue;
};

/// Baseline for comparison: a first-in first-out queue before a fixed number of slots.
class fifo_request_queue final : public request_queue {
public:
    fifo_request_queue(std::size_t slots, std::size_t queue_limit, admission_listener& listener)
        : m_free_slots(slots), m_queue_limit(queue_limit), m_listener(listener)
    {
    }

    void offer(admission_request request) override;
    void on_finished(const attempt_id& id, duration service_time, finish_result result) override;
    load_report report(std::string_view) const override { return {}; }

private:
    std::size_t m_free_slots;
    std::size_t m_queue_limit;
    admission_listener& m_listener;
    std::deque<attempt_id> m_waiting_attempts;
};

} // namespace mulberry
