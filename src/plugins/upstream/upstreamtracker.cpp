#include "plugins/upstream/upstreamtracker.h"

#include "libs/base/log.h"

#include <utility>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "upstream";
// The time of the announcement is not known after a restart of this node. It is taken to be so long ago that no grace
// period applies.
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

bool upstream_tracker::report(upstream_report report)
{
    if (!is_newer(report)) {
        log_info(log_part, "Ignoring an outdated report from {} with sequence {}.", report.instance, report.sequence);
        return false;
    }
    const bool same_run = m_current && m_current->last_report.instance == report.instance &&
                          m_current->last_report.born_ms == report.born_ms;
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
    const upstream_report& last = m_current->last_report;
    const bool same_run = last.instance == report.instance && last.born_ms == report.born_ms;
    if (!report.leaving || !same_run || m_current->leaving_since)
        return;
    log_info(log_part, "Upstream {} was leaving according to an earlier run of this node.", report.instance);
    m_current->leaving_since = m_timers.now() - restored_leaving_age;
    m_on_changed(*m_current);
}

void upstream_tracker::deregister(const std::string& instance, std::optional<std::int64_t> born_ms)
{
    if (!m_current) {
        // This node started after the last report of the upstream. The deregistration is recorded all the same, so that
        // a later report of the same run does not put the upstream back into service.
        upstream_report placeholder;
        placeholder.instance = instance;
        placeholder.born_ms = born_ms.value_or(0);
        m_current = tracked_upstream{std::move(placeholder), m_timers.now(), m_timers.now()};
        return m_on_changed(*m_current);
    }
    if (m_current->last_report.instance != instance || (born_ms && *born_ms < m_current->last_report.born_ms)) {
        log_info(log_part, "Ignoring the deregistration of {}: it is not the current upstream.", instance);
        return;
    }
    if (m_current->leaving_since)
        return;
    m_current->leaving_since = m_timers.now();
    log_info(log_part, "Upstream {} has deregistered.", instance);
    m_on_changed(*m_current);
}

} // namespace mulberry
