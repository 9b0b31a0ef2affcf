#include "plugins/entry/refusalwriter.h"

#include "libs/base/jitter.h"
#include "plugins/entry/problemdocument.h"

#include <algorithm>
#include <array>
#include <chrono>

#include <fmt/format.h>

namespace mulberry::detail {

namespace {

constexpr int status_too_many_requests = 429;
constexpr int status_bad_gateway = 502;
constexpr int status_service_unavailable = 503;
constexpr int status_gateway_timeout = 504;

/// True for statuses from which a caller may conclude that its request has not run.
bool status_implies_not_run(int status)
{
    constexpr std::array not_run_statuses{408, 421, 429, 503};
    return std::ranges::find(not_run_statuses, status) != not_run_statuses.end();
}

} // namespace

caller_response refusal_writer::write(refusal cause, std::string_view request_id)
{
    caller_response response;
    response.status = status_of(cause);
    response.headers.emplace_back("Content-Type", problem_content_type);
    if (response.status == status_too_many_requests || response.status == status_service_unavailable) {
        if (cause.retry_after <= duration{0})
            cause.retry_after = with_jitter(m_settings.default_retry_after, m_random);
        response.headers.emplace_back("Retry-After", retry_after_text(cause.retry_after));
    }
    response.body = problem_document(cause, request_id);
    return response;
}

int refusal_writer::status_of(const refusal& cause) const
{
    const int status = http_status(cause.reason);
    if (!m_settings.status_implies_outcome)
        return status;
    if (cause.result != outcome::not_run && status_implies_not_run(status))
        return status_bad_gateway;
    if (cause.result == outcome::not_run && status == status_gateway_timeout)
        return status_service_unavailable;
    return status;
}

std::string refusal_writer::retry_after_text(duration interval) const
{
    if (m_settings.fractional_retry_after)
        return fmt::format("{:.3f}", to_seconds(interval));
    // RFC 9110 allows whole seconds only. Rounding up prevents the caller from retrying too early.
    return fmt::to_string(std::chrono::ceil<std::chrono::seconds>(interval).count());
}

} // namespace mulberry::detail
