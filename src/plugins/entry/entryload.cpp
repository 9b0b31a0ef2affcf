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
    return m_dependencies.throttle.check(request.service, request.level, request.organisation);
}

std::optional<refusal> entry_load::check_bottlenecks(const entry_request& request)
{
    if (m_dependencies.bottlenecks == nullptr || !request.may_be_throttled())
        return std::nullopt;
    return m_dependencies.bottlenecks->check(route_of(request), {request.level, request.rules.level});
}

void entry_load::record_response(const entry_request& request, const call_response& response)
{
    m_dependencies.throttle.observe(request.service, request.upstream, request.organisation, response.load);
    if (response.result != outcome::ran)
        return;
    if (request.is_upstream_call) {
        if (m_dependencies.downstream != nullptr)
            m_dependencies.downstream->on_call_response(request.service, response.downstream);
        return;
    }
    if (m_dependencies.bottlenecks != nullptr) {
        m_dependencies.bottlenecks->observe(route_of(request), response.status >= first_server_error,
                                            response.downstream);
    }
}

void entry_load::on_refused(const entry_request& request)
{
    if (m_dependencies.downstream != nullptr && request.is_upstream_call && request.refused_for_capacity)
        m_dependencies.downstream->on_refused(request.service);
}

std::string entry_load::route_of(const entry_request& request)
{
    return fmt::format("{}/{}", request.service, request.rules.name);
}

bool is_capacity_refusal(refusal_reason reason)
{
    return reason == refusal_reason::queue_full || reason == refusal_reason::queue_delay ||
           reason == refusal_reason::importance_shed || reason == refusal_reason::upstream_limited;
}

} // namespace mulberry::detail
