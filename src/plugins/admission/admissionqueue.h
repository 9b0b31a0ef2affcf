#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/refusal.h"
#include "libs/base/timerservice.h"
#include "plugins/admission/loadreport.h"

#include <memory>
#include <string>
#include <string_view>

namespace mulberry {

/// Which of the waiting requests of one organisation and importance goes first.
enum class queue_order : std::uint8_t { oldest_first, newest_first };

struct admission_settings {
    /// Requests that the upstream can run at once; the learned limit never exceeds it.
    std::uint32_t slots = 100;
    /// Waiting requests in total; 0 means as many as there are slots.
    std::uint32_t queue_limit = 0;
    /// Longest wait while the queue empties now and then: the larger of a time and a number of service times, because
    /// random arrivals make queues that last for several service times below capacity.
    duration burst_delay{100'000};
    double burst_services = 4;
    /// Longest wait once the queue has not been empty for as long as the longest wait above.
    duration standing_delay{20'000};
    double standing_services = 1;
    /// Part of its time left that a request may be expected to wait; beyond that it is refused at once, so that there
    /// is time to try another upstream.
    double longest_wait_share = 1;
    queue_order order = queue_order::oldest_first;
    /// Off: the limit is always the number of slots.
    bool learn_limit = true;
};

struct admission_request {
    attempt_id id;
    importance level = importance::normal;
    std::string organisation;
    time_point deadline;
};

/// How a running request ended at the upstream.
enum class finish_result : std::uint8_t { succeeded, failed, timed_out, cancelled };

/// Receives the decisions of an admission queue. Calls may come from within offer, finished, cancel and timers. A
/// listener may call back into the queue.
class admission_listener {
public:
    admission_listener() = default;
    admission_listener(const admission_listener&) = delete;
    admission_listener& operator=(const admission_listener&) = delete;
    virtual ~admission_listener() = default;

    /// The request holds a slot from now until finished is called for it.
    virtual void on_admitted(const attempt_id& id) = 0;
    /// The request was dropped before the hand-over and will never be admitted.
    virtual void on_refused(const attempt_id& id, const refusal& why) = 0;
};

/// Decides which requests an upstream runs, in which order, and which ones are refused. Every offered request gets
/// exactly one call of the listener unless it is cancelled before.
class admission_queue {
public:
    admission_queue(admission_settings settings, timer_service& timers, admission_listener& listener);
    admission_queue(const admission_queue&) = delete;
    admission_queue& operator=(const admission_queue&) = delete;
    ~admission_queue();

    /// Takes a request. The listener may be called before this returns. An id that waits or runs is refused.
    void offer(admission_request request);
    /// Removes a waiting request without a call of the listener. False if it was handed over or is unknown.
    bool cancel(const attempt_id& id);
    /// Frees the slot of an admitted request; unknown ids are ignored. The service time runs from the hand-over.
    void finished(const attempt_id& id, duration service_time, finish_result result);
    /// Refuses all later offers with reason `leaving`. Waiting requests are still served.
    void begin_leaving();
    /// Applies a changed number of slots from the service document.
    void set_slots(std::uint32_t slots);

    /// Load as it applies to an organisation.
    load_report report(std::string_view organisation) const;
    std::size_t waiting() const;
    std::size_t running() const;
    /// The learned limit, in [1, slots].
    std::uint32_t concurrency_limit() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mulberry
