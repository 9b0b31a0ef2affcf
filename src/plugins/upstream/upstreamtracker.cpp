#include "plugins/upstream/upstreamtracker.h"

#include "libs/base/log.h"

#include <utility>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "upstream";

} // namespace

bool upstream_tracker::is_newer(const upstream_report& report) const
{
    if (!m_current)
        return true;
    const upstream_report& last = m_current->last;
    if (report.born_ms != last.born_ms)
        return report.born_ms > last.born_ms;
    if (report.instance != last.instance)
        return true;
    return report.sequence > last.sequence;
}

bool upstream_tracker::report(upstream_report report)
{
    if (!is_newer(report)) {
        log_info(log_part, "A late report of {} with sequence {} is ignored.", report.instance, report.sequence);
        return false;
    }
    const bool same_run =
        m_current && m_current->last.instance == report.instance && m_current->last.born_ms == report.born_ms;
    tracked_upstream next;
    if (same_run)
        next.leaving_since = m_current->leaving_since;
    if (report.leaving && !next.leaving_since)
        next.leaving_since = m_timers.now();
    next.heard = m_timers.now();
    const bool changed = !same_run || next.leaving_since != m_current->leaving_since ||
                         report.slots != m_current->last.slots || report.service != m_current->last.service;
    next.last = std::move(report);
    m_current = std::move(next);
    if (!changed)
        return true;
    log_info(log_part, "Upstream {} of {}: {} slots, {}, sequence {}.", m_current->last.instance,
             m_current->last.service, m_current->last.slots, m_current->leaving_since ? "leaving" : "serving",
             m_current->last.sequence);
    m_on_changed(*m_current);
    return true;
}

void upstream_tracker::adopt(upstream_report report)
{
    if (m_current)
        return;
    log_info(log_part, "Upstream {} of {} with {} slots is adopted from an earlier run of this node.", report.instance,
             report.service, report.slots);
    m_current = tracked_upstream{std::move(report), std::nullopt, m_timers.now()};
    m_on_changed(*m_current);
}

void upstream_tracker::deregister(const std::string& instance, std::optional<std::int64_t> born_ms)
{
    if (!m_current) {
        // This node has started after the upstream; the end binds it all the same.
        upstream_report unknown;
        unknown.instance = instance;
        unknown.born_ms = born_ms.value_or(0);
        m_current = tracked_upstream{std::move(unknown), m_timers.now(), m_timers.now()};
        return m_on_changed(*m_current);
    }
    if (m_current->last.instance != instance || (born_ms && *born_ms < m_current->last.born_ms)) {
        log_info(log_part, "The end of {} is ignored: it is not the present upstream.", instance);
        return;
    }
    if (m_current->leaving_since)
        return;
    m_current->leaving_since = m_timers.now();
    log_info(log_part, "Upstream {} deregisters.", instance);
    m_on_changed(*m_current);
}

} // namespace mulberry
