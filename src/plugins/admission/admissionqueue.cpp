#include "plugins/admission/admissionqueue.h"

#include "libs/base/log.h"
#include "plugins/admission/concurrencylimiter.h"
#include "plugins/admission/fairqueue.h"
#include "plugins/admission/importanceordercheck.h"
#include "plugins/admission/ratepacer.h"
#include "plugins/admission/shedstatistics.h"

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "admission";
/// Retry-After of shed requests. The caller's jitter spreads retries around this time.
constexpr duration retry_after_shed{1'000'000};

} // namespace

class admission_queue::implementation {
public:
    implementation(admission_settings settings, timer_service& timers, admission_listener& listener)
        : m_settings(settings), m_timers(timers), m_listener(listener), m_queue(settings.order),
          m_limiter(settings.slots, settings.learn_limit, timers.now()), m_pacer(timers.now()),
          m_statistics(timers.now())
    {
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    ~implementation()
    {
        m_timers.cancel(m_expiry_timer);
        m_timers.cancel(m_pacing_timer);
    }

    void offer(admission_request request);
    bool cancel(const attempt_id& id);
    void finished(const attempt_id& id, duration service_time, finish_result result);
    void begin_leaving();
    void set_slots(std::uint32_t slots);
    void set_rate_limit(std::optional<double> per_second);

    load_report report(std::string_view organisation) const;
    std::size_t waiting() const { return m_queue.size(); }
    std::size_t running() const { return m_running.size(); }
    std::uint32_t concurrency_limit() const { return m_limiter.limit(); }

private:
    void admit_while_possible();
    void arm_pacing();
    void admit(const detail::waiting_request& item);
    void shed(const detail::waiting_request& item, refusal_reason reason);
    void refuse_deadline(const detail::waiting_request& item);
    void enqueue(detail::waiting_request item);
    void on_removed(const detail::waiting_request& item);
    void shed_excess(importance newcomer);

    bool can_meet_deadline(time_point deadline, duration wait) const;
    duration expected_wait(importance level) const;
    duration expected_paced_wait(importance level) const;
    double usable_concurrency() const;
    refusal_reason late_reason() const;
    std::size_t queue_limit() const;
    bool has_standing_queue(importance level) const;
    duration burst_delay() const;
    duration max_wait(importance level) const;
    void arm_expiry();
    void expire(importance level);
    void record_utilisation();

    admission_settings m_settings;
    timer_service& m_timers;
    admission_listener& m_listener;
    detail::fair_queue m_queue;
    detail::concurrency_limiter m_limiter;
    detail::rate_pacer m_pacer;
    detail::shed_statistics m_statistics;
    detail::importance_order_check m_order_check;
    std::unordered_map<attempt_id, importance> m_running;
    /// Per importance, when the queue of requests of this importance or above was last empty. It is tracked per
    /// importance because a queue of background requests must not shorten the maximum wait of critical ones.
    std::array<time_point, all_importances.size()> m_waiting_since;
    timer_id m_expiry_timer = 0;
    timer_id m_pacing_timer = 0;
    bool m_leaving = false;
};

void admission_queue::implementation::offer(admission_request request)
{
    const attempt_id id = request.id;
    const importance level = request.level;
    if (m_running.contains(id) || m_queue.contains(id))
        return m_listener.on_refused(id, {refusal_reason::duplicate_attempt, outcome::unknown, duration{0}});
    if (m_leaving)
        return m_listener.on_refused(id, not_run_refusal(refusal_reason::leaving));
    if (request.deadline <= m_timers.now())
        return m_listener.on_refused(id, not_run_refusal(refusal_reason::deadline_expired));
    const duration longest_wait =
        from_seconds(to_seconds(request.deadline - m_timers.now()) * m_settings.max_wait_share);
    if (expected_paced_wait(level) > std::min(m_settings.max_paced_wait, longest_wait))
        return m_listener.on_refused(id, not_run_refusal(refusal_reason::upstream_limited, retry_after_shed));
    const duration wait = expected_wait(level);
    if (!can_meet_deadline(request.deadline, wait))
        return m_listener.on_refused(id, not_run_refusal(refusal_reason::deadline_unreachable));
    if (wait > longest_wait) {
        m_statistics.on_decision(m_timers.now(), request.organisation, level, false);
        return m_listener.on_refused(id, not_run_refusal(refusal_reason::queue_delay, retry_after_shed));
    }
    enqueue({std::move(request), m_timers.now()});
    admit_while_possible();
    shed_excess(level);
    arm_expiry();
}

bool admission_queue::implementation::cancel(const attempt_id& id)
{
    const auto item = m_queue.remove(id);
    if (!item)
        return false;
    on_removed(*item);
    return true;
}

void admission_queue::implementation::finished(const attempt_id& id, duration service_time, finish_result result)
{
    const auto it = m_running.find(id);
    if (it == m_running.end())
        return;
    record_utilisation();
    const bool limit_reached = m_running.size() >= m_limiter.limit();
    m_running.erase(it);
    m_limiter.on_finish(m_timers.now(), service_time, result, limit_reached);
    admit_while_possible();
}

void admission_queue::implementation::begin_leaving()
{
    m_leaving = true;
    log_info(log_part, "Leaving: {} requests are waiting and {} are running; new requests are refused.", waiting(),
             running());
}

void admission_queue::implementation::set_slots(std::uint32_t slots)
{
    record_utilisation();
    m_settings.slots = std::max(slots, 1U);
    m_limiter.set_slots(slots);
    admit_while_possible();
}

void admission_queue::implementation::set_rate_limit(std::optional<double> per_second)
{
    record_utilisation();
    m_pacer.set_rate(m_timers.now(), per_second);
    m_timers.cancel(m_pacing_timer);
    m_pacing_timer = 0;
    admit_while_possible();
}

load_report admission_queue::implementation::report(std::string_view organisation) const
{
    load_report result = m_statistics.report(m_timers.now(), organisation);
    result.concurrency_limit = static_cast<std::uint32_t>(usable_concurrency());
    return result;
}

void admission_queue::implementation::admit_while_possible()
{
    while (m_running.size() < m_limiter.limit()) {
        if (!m_pacer.allows(m_timers.now()))
            return arm_pacing();
        const auto item = m_queue.pop();
        if (!item)
            return;
        on_removed(*item);
        if (!can_meet_deadline(item->request.deadline, duration{0})) {
            refuse_deadline(*item);
            continue;
        }
        if (!m_order_check.check_admission(item->request.level)) {
            m_listener.on_refused(item->request.id, not_run_refusal(refusal_reason::invariant_violated));
            continue;
        }
        admit(*item);
    }
}

void admission_queue::implementation::arm_pacing()
{
    if (m_pacing_timer != 0 || m_queue.size() == 0)
        return;
    m_pacing_timer = m_timers.schedule(m_pacer.time_until(m_timers.now(), 1), [this] {
        m_pacing_timer = 0;
        admit_while_possible();
    });
}

void admission_queue::implementation::admit(const detail::waiting_request& item)
{
    const time_point now = m_timers.now();
    record_utilisation();
    m_statistics.on_wait(now, now - item.waiting_since);
    m_statistics.on_decision(now, item.request.organisation, item.request.level, true);
    m_running.emplace(item.request.id, item.request.level);
    m_pacer.on_admitted(now);
    m_listener.on_admitted(item.request.id);
}

void admission_queue::implementation::shed(const detail::waiting_request& item, refusal_reason reason)
{
    const time_point now = m_timers.now();
    m_order_check.check_shedding(item.request.level);
    m_statistics.on_wait(now, now - item.waiting_since);
    // Entries admit fewer requests to the whole service when a guard sheds, but other upstreams may have no limit.
    if (reason != refusal_reason::upstream_limited)
        m_statistics.on_decision(now, item.request.organisation, item.request.level, false);
    m_listener.on_refused(item.request.id, not_run_refusal(reason, retry_after_shed));
}

void admission_queue::implementation::refuse_deadline(const detail::waiting_request& item)
{
    const bool expired = item.request.deadline <= m_timers.now();
    m_statistics.on_wait(m_timers.now(), m_timers.now() - item.waiting_since);
    m_listener.on_refused(item.request.id, not_run_refusal(expired ? refusal_reason::deadline_expired
                                                                   : refusal_reason::deadline_unreachable));
}

void admission_queue::implementation::enqueue(detail::waiting_request item)
{
    for (std::size_t index = 0; index <= static_cast<std::size_t>(item.request.level); ++index) {
        if (m_queue.size_at_or_above(static_cast<importance>(index)) == 0)
            m_waiting_since[index] = m_timers.now();
    }
    m_order_check.on_enqueued(item.request.level);
    m_queue.push(std::move(item));
}

void admission_queue::implementation::on_removed(const detail::waiting_request& item)
{
    m_order_check.on_removed(item.request.level);
    if (m_queue.size() > 0 || m_expiry_timer == 0)
        return;
    m_timers.cancel(m_expiry_timer);
    m_expiry_timer = 0;
}

void admission_queue::implementation::shed_excess(importance newcomer)
{
    while (m_queue.size() > queue_limit()) {
        const auto item = m_queue.evict();
        if (!item)
            return;
        on_removed(*item);
        const bool less_important_than_others =
            item->request.level < newcomer || item->request.level < m_queue.lowest_importance();
        shed(*item, less_important_than_others ? refusal_reason::importance_shed : refusal_reason::queue_full);
    }
}

bool admission_queue::implementation::can_meet_deadline(time_point deadline, duration wait) const
{
    const time_point now = m_timers.now();
    return now + wait + m_limiter.expected_service_time(now) < deadline;
}

duration admission_queue::implementation::expected_wait(importance level) const
{
    const duration paced_wait = expected_paced_wait(level);
    if (m_running.size() < m_limiter.limit())
        return paced_wait;
    const auto ahead = static_cast<std::int64_t>(m_queue.size_at_or_above(level));
    return std::max(paced_wait, m_limiter.expected_service_time(m_timers.now()) * ahead / m_limiter.limit());
}

/// Expected wait for the rate limit, while slots are free.
duration admission_queue::implementation::expected_paced_wait(importance level) const
{
    return m_pacer.time_until(m_timers.now(), 1 + static_cast<double>(m_queue.size_at_or_above(level)));
}

/// Number of requests that run at once when all slots are used, or when the rate limit is reached. At least 1.
double admission_queue::implementation::usable_concurrency() const
{
    const double limit = m_limiter.limit();
    const duration service_time = m_limiter.expected_service_time(m_timers.now());
    if (!m_pacer.is_limited() || service_time <= duration{0})
        return limit;
    return std::clamp(m_pacer.rate() * to_seconds(service_time), 1.0, limit);
}

/// Why a request could not be admitted in time.
refusal_reason admission_queue::implementation::late_reason() const
{
    const bool slots_free = m_running.size() < m_limiter.limit();
    return m_pacer.is_limited() && slots_free ? refusal_reason::upstream_limited : refusal_reason::queue_delay;
}

std::size_t admission_queue::implementation::queue_limit() const
{
    return m_settings.queue_limit == 0 ? m_settings.slots : m_settings.queue_limit;
}

bool admission_queue::implementation::has_standing_queue(importance level) const
{
    return m_queue.size_at_or_above(level) > 0 &&
           m_timers.now() - m_waiting_since[static_cast<std::size_t>(level)] >= burst_delay();
}

duration admission_queue::implementation::burst_delay() const
{
    const double service_times_s =
        to_seconds(m_limiter.expected_service_time(m_timers.now())) * m_settings.burst_service_times;
    return std::max(m_settings.burst_delay, from_seconds(service_times_s));
}

duration admission_queue::implementation::max_wait(importance level) const
{
    const duration paced_wait = m_pacer.is_limited() ? m_settings.max_paced_wait : duration{0};
    if (!has_standing_queue(level))
        return std::max(burst_delay(), paced_wait);
    const double service_times_s =
        to_seconds(m_limiter.expected_service_time(m_timers.now())) * m_settings.standing_service_times;
    return std::max({m_settings.standing_delay, from_seconds(service_times_s), paced_wait});
}

void admission_queue::implementation::arm_expiry()
{
    if (m_expiry_timer != 0 || m_queue.size() == 0)
        return;
    time_point due = time_point::max();
    for (const importance level : all_importances) {
        const detail::waiting_request* oldest = m_queue.oldest(level);
        if (oldest == nullptr)
            continue;
        due = std::min(due, oldest->waiting_since + max_wait(level));
        if (!has_standing_queue(level))
            due = std::min(due, m_waiting_since[static_cast<std::size_t>(level)] + burst_delay());
    }
    m_expiry_timer = m_timers.schedule(due - m_timers.now(), [this] {
        m_expiry_timer = 0;
        for (const importance level : all_importances)
            expire(level);
        arm_expiry();
    });
}

void admission_queue::implementation::expire(importance level)
{
    const time_point now = m_timers.now();
    while (const detail::waiting_request* oldest = m_queue.oldest(level)) {
        if (now - oldest->waiting_since < max_wait(level))
            return;
        const attempt_id id = oldest->request.id;
        // If this request was not admitted in time, no less important one will be: those are shed first.
        const auto less_important = m_queue.take_less_important(level);
        const auto item = m_queue.remove(id);
        for (const auto& each : less_important)
            on_removed(each);
        on_removed(*item);
        for (const auto& each : less_important)
            shed(each, refusal_reason::importance_shed);
        shed(*item, late_reason());
    }
}

void admission_queue::implementation::record_utilisation()
{
    m_statistics.on_utilisation(m_timers.now(),
                                std::min(static_cast<double>(m_running.size()) / usable_concurrency(), 1.0));
}

admission_queue::admission_queue(admission_settings settings, timer_service& timers, admission_listener& listener)
    : m_implementation(std::make_unique<implementation>(settings, timers, listener))
{
}

admission_queue::~admission_queue() = default;

void admission_queue::offer(admission_request request)
{
    m_implementation->offer(std::move(request));
}

bool admission_queue::cancel(const attempt_id& id)
{
    return m_implementation->cancel(id);
}

void admission_queue::finished(const attempt_id& id, duration service_time, finish_result result)
{
    m_implementation->finished(id, service_time, result);
}

void admission_queue::begin_leaving()
{
    m_implementation->begin_leaving();
}

void admission_queue::set_slots(std::uint32_t slots)
{
    m_implementation->set_slots(slots);
}

void admission_queue::set_rate_limit(std::optional<double> per_second)
{
    m_implementation->set_rate_limit(per_second);
}

load_report admission_queue::report(std::string_view organisation) const
{
    return m_implementation->report(organisation);
}

std::size_t admission_queue::waiting() const
{
    return m_implementation->waiting();
}

std::size_t admission_queue::running() const
{
    return m_implementation->running();
}

std::uint32_t admission_queue::concurrency_limit() const
{
    return m_implementation->concurrency_limit();
}

} // namespace mulberry
