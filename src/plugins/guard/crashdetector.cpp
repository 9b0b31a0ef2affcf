#include "plugins/guard/crashdetector.h"

namespace mulberry::detail {

namespace {

/// A crash closes all connections at once, but a busy node may process them later one after another.
constexpr duration crash_window = std::chrono::milliseconds(500);

} // namespace

void crash_detector::on_connection_lost(time_point now, request_fingerprint fingerprint)
{
    std::erase_if(m_lost_calls, [now](const lost_call& each) { return now - each.lost_at > crash_window; });
    m_lost_calls.push_back({now, fingerprint});
}

void crash_detector::on_response(time_point forwarded_at)
{
    std::erase_if(m_lost_calls, [forwarded_at](const lost_call& each) { return each.lost_at < forwarded_at; });
}

std::vector<request_fingerprint> crash_detector::on_upstream_ended(std::optional<time_point> oldest_running)
{
    if (m_lost_calls.empty() || (oldest_running && *oldest_running <= m_lost_calls.back().lost_at))
        return {};
    std::vector<request_fingerprint> calls;
    calls.reserve(m_lost_calls.size());
    for (const lost_call& each : m_lost_calls)
        calls.push_back(each.fingerprint);
    m_lost_calls.clear();
    return calls;
}

} // namespace mulberry::detail
