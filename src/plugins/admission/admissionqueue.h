#pragma once

#include "libs/base/identifiers.h"
#include "libs/base/refusal.h"
#include "libs/base/timerservice.h"
#include "plugins/admission/loadreport.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry {

/// Order in which the waiting requests of one organisation and importance are admitted.
enum class queue_order : std::uint8_t { oldest_first, newest_first };

struct admission_settings {
    /// Number of requests that the upstream can run at once. The learned concurrency limit never exceeds it.
    std::uint32_t slots = 100;
    /// Maximum number of waiting requests; 0 means the number of slots.
    std::uint32_t queue_limit = 0;
    /// Maximum wait while the queue becomes empty from time to time: the larger of a time and a number of service
    /// times. The latter applies because random arrivals cause queues that last for several service times even below
    /// capacity.
    duration burst_delay{100'000};
    double burst_service_times = 4;
    /// Maximum wait once the queue has not been empty for the burst delay above: the larger of a time and a number of
    /// service times.
    duration standing_delay{20'000};
    double standing_service_times = 1;
    /// Share of the time until its deadline that a request may be expected to wait, in (0, 1]. A request with a longer
    /// expected wait is refused immediately, so that there is time to try another upstream.
    double max_wait_share = 1;
    /// Maximum expected wait for the upstream's rate limit. A request with a longer one is refused immediately, because
    /// another upstream of the service may have no limit.
    duration max_paced_wait{250'000};
    queue_order order = queue_order::oldest_first;
    /// If false, the concurrency limit is always the number of slots.
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

/// Receives the decisions of an admission queue. The functions may be called from within offer, finished, cancel and
/// timers. A listener may call back into the queue.
class admission_listener {
public:
    admission_listener() = default;
    admission_listener(const admission_listener&) = delete;
    admission_listener& operator=(const admission_listener&) = delete;
    virtual ~admission_listener() = default;

    /// The request was admitted and occupies a slot until finished is called for it.
    virtual void on_admitted(const attempt_id& id) = 0;
    /// The request was refused before it ran and will never be admitted.
    virtual void on_refused(const attempt_id& id, const refusal& details) = 0;
};

/// Decides which requests an upstream runs, in which order, and which ones are refused. The listener is called exactly
/// once for every offered request, unless the request is cancelled before.
class admission_queue {
public:
    admission_queue(admission_settings settings, timer_service& timers, admission_listener& listener);
    admission_queue(const admission_queue&) = delete;
    admission_queue& operator=(const admission_queue&) = delete;
    ~admission_queue();

    /// Offers a request for admission. The listener may be called before this returns. A request whose id already waits
    /// or runs is refused.
    void offer(admission_request request);
    /// Removes a waiting request without calling the listener. Returns false if the request was admitted or is unknown.
    bool cancel(const attempt_id& id);
    /// Frees the slot of an admitted request; unknown ids are ignored. The service time is measured from admission.
    void finished(const attempt_id& id, duration service_time, finish_result result);
    /// Refuses all later offers with reason `leaving`. Waiting requests are still admitted.
    void begin_leaving();
    /// Applies a changed number of slots.
    void set_slots(std::uint32_t slots);
    /// Limits the admissions to a number per second; empty for no limit.
    void set_rate_limit(std::optional<double> per_second);

    /// The current load as it applies to an organisation.
    load_report report(std::string_view organisation) const;
    std::size_t waiting() const;
    std::size_t running() const;
    /// The learned concurrency limit, in [1, slots].
    std::uint32_t concurrency_limit() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mulberry
