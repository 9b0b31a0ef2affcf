#include "plugins/upstream/upstreamtracker.h"

#include "libs/base/log.h"

#include <algorithm>
#include <utility>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "upstream";
// The time of the announcement is not known after a restart of this node. It is taken to be so long ago that no grace
// period applies.
// Time for which an earlier run must report while the current one is silent. Delayed reports come in one go, and a run
// that is alive reports every one or two seconds.
constexpr duration takeover_time = std::chrono::seconds(4);
constexpr duration restored_leaving_age = std::chrono::hours(1);

} // namespace

bool upstream_tracker::is_newer(const upstream_report& report) const
{
    if (!m_current)
        return true;
    const upstream_report& last = m_current->last_report;
    if (report.born_ms != last.born_ms)
        return report.born_ms > last.born_ms;
    if (report.instance != last.instance)
        return true;
    return report.sequence > last.sequence;
}

bool upstream_tracker::is_current_run(const upstream_report& report) const
{
    return m_current && m_current->last_report.instance == report.instance &&
           m_current->last_report.born_ms == report.born_ms;
}

bool upstream_tracker::takes_over(const upstream_report& report)
{
    if (!m_current || report.born_ms >= m_current->last_report.born_ms)
        return false;
    const time_point now = m_timers.now();
    const bool continues = m_earlier_run && m_earlier_run->last_report.instance == report.instance &&
                           m_earlier_run->last_report.born_ms == report.born_ms;
    if (!continues) {
        m_earlier_run = earlier_run{report, now};
        return false;
    }
    if (report.sequence <= m_earlier_run->last_report.sequence)
        return false;
    m_earlier_run->last_report = report;
    return now - std::max(m_earlier_run->first_report_time, m_current->last_report_time) >= takeover_time;
}

bool upstream_tracker::report(upstream_report report)
{
    if (!is_newer(report) && !takes_over(report)) {
        log_info(log_part, "Ignoring an outdated report from {} with sequence {}.", report.instance, report.sequence);
        return report.leaving && is_current_run(report) && m_current->leaving_since;
    }
    const bool same_run = is_current_run(report);
    tracked_upstream updated;
    if (same_run)
        updated.leaving_since = m_current->leaving_since;
    if (report.leaving && !updated.leaving_since)
        updated.leaving_since = m_timers.now();
    updated.last_report_time = m_timers.now();
    const bool changed = !same_run || updated.leaving_since != m_current->leaving_since ||
                         report.slots != m_current->last_report.slots ||
                         report.service != m_current->last_report.service;
    updated.last_report = std::move(report);
    m_current = std::move(updated);
    if (!same_run)
        m_earlier_run.reset();
    if (!changed)
        return true;
    log_info(log_part, "Upstream {} of service {}: {} slots, {}, sequence {}.", m_current->last_report.instance,
             m_current->last_report.service, m_current->last_report.slots,
             m_current->leaving_since ? "leaving" : "serving", m_current->last_report.sequence);
    m_on_changed(*m_current);
    return true;
}

void upstream_tracker::restore(upstream_report report)
{
    if (m_current)
        return restore_leaving(report);
    log_info(log_part, "Restored upstream {} of service {} with {} slots from an earlier run of this node.",
             report.instance, report.service, report.slots);
    m_current = tracked_upstream{std::move(report), std::nullopt, m_timers.now()};
    if (m_current->last_report.leaving)
        m_current->leaving_since = m_timers.now() - restored_leaving_age;
    m_on_changed(*m_current);
}

void upstream_tracker::restore_leaving(const upstream_report& report)
{
    if (!report.leaving || !is_current_run(report) || m_current->leaving_since)
        return;
    log_info(log_part, "Upstream {} was leaving according to an earlier run of this node.", report.instance);
    m_current->leaving_since = m_timers.now() - restored_leaving_age;
    m_on_changed(*m_current);
}

bool upstream_tracker::deregister(const std::string& instance, std::optional<std::int64_t> born_ms)
{
    if (!m_current) {
        // This node started after the last report of the upstream. The deregistration is recorded all the same, so that
        // a later report of the same run does not put the upstream back into service.
        upstream_report placeholder;
        placeholder.instance = instance;
        placeholder.born_ms = born_ms.value_or(0);
        m_current = tracked_upstream{std::move(placeholder), m_timers.now(), m_timers.now()};
        m_on_changed(*m_current);
        return true;
    }
    if (m_current->last_report.instance != instance || (born_ms && *born_ms < m_current->last_report.born_ms)) {
        log_info(log_part, "Ignoring the deregistration of {}: it is not the current upstream.", instance);
        return false;
    }
    if (m_current->leaving_since)
        return true;
    m_current->leaving_since = m_timers.now();
    log_info(log_part, "Upstream {} has deregistered.", instance);
    m_on_changed(*m_current);
    return true;
}

} // namespace mulberry
