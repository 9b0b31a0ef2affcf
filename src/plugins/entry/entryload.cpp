#include "plugins/entry/entryload.h"

#include <fmt/format.h>

namespace mulberry::detail {

namespace {

constexpr int first_server_error = 500;

} // namespace

std::optional<refusal> entry_load::check(const entry_request& request)
{
    if (!request.may_be_throttled())
        return std::nullopt;
    return m_parts.throttle.check(request.service, request.level, request.organisation);
}

std::optional<refusal> entry_load::check_bottlenecks(const entry_request& request)
{
    if (m_parts.bottlenecks == nullptr || !request.may_be_throttled())
        return std::nullopt;
    return m_parts.bottlenecks->check(route_of(request), {request.level, request.matched.level});
}

void entry_load::learn(const entry_request& request, const call_answer& answer)
{
    m_parts.throttle.observe(request.service, request.upstream, request.organisation, answer.load);
    if (answer.result != outcome::ran)
        return;
    if (request.is_upstream_call) {
        if (m_parts.downstream != nullptr)
            m_parts.downstream->on_answered(request.service, answer.downstream);
        return;
    }
    if (m_parts.bottlenecks != nullptr)
        m_parts.bottlenecks->observe(route_of(request), answer.status >= first_server_error, answer.downstream);
}

void entry_load::on_refused(const entry_request& request)
{
    if (m_parts.downstream != nullptr && request.is_upstream_call && request.found_no_room)
        m_parts.downstream->on_refused(request.service);
}

std::string entry_load::route_of(const entry_request& request)
{
    return fmt::format("{}/{}", request.service, request.matched.name);
}

bool lacks_room(refusal_reason reason)
{
    return reason == refusal_reason::queue_full || reason == refusal_reason::queue_delay ||
           reason == refusal_reason::importance_shed;
}

} // namespace mulberry::detail
