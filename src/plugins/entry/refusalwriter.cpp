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

/// Statuses by which a caller may conclude that its request has not run.
bool promises_not_run(int status)
{
    constexpr std::array promises{408, 421, 429, 503};
    return std::ranges::find(promises, status) != promises.end();
}

} // namespace

caller_answer refusal_writer::write(refusal why, std::string_view request_id)
{
    caller_answer answer;
    answer.status = status_of(why);
    answer.headers.emplace_back("Content-Type", problem_content_type);
    if (answer.status == status_too_many_requests || answer.status == status_service_unavailable) {
        if (why.retry_after <= duration{0})
            why.retry_after = jittered(m_settings.default_retry_after, m_random);
        answer.headers.emplace_back("Retry-After", retry_after_text(why.retry_after));
    }
    answer.body = problem_document(why, request_id);
    return answer;
}

int refusal_writer::status_of(const refusal& why) const
{
    const int status = http_status(why.reason);
    if (!m_settings.status_tells_outcome)
        return status;
    if (why.result != outcome::not_run && promises_not_run(status))
        return status_bad_gateway;
    if (why.result == outcome::not_run && status == status_gateway_timeout)
        return status_service_unavailable;
    return status;
}

std::string refusal_writer::retry_after_text(duration interval) const
{
    if (m_settings.fractional_retry_after)
        return fmt::format("{:.3f}", to_seconds(interval));
    // Whole seconds (RFC 9110); rounding up keeps the caller from coming back too early.
    return fmt::to_string(std::chrono::ceil<std::chrono::seconds>(interval).count());
}

} // namespace mulberry::detail
