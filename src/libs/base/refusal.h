#pragma once

#include "libs/base/time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace mulberry {

/// Whether the upstream ran a request. The outcome is "unknown" if it is not certain that the request was not run.
enum class outcome : std::uint8_t { ran, not_run, unknown };

/// Why a request was refused or failed. The names returned by to_string are used as metric labels and as the `reason`
/// member that callers receive.
enum class refusal_reason : std::uint8_t {
    key_missing,
    key_unknown,
    view_stale,
    route_unknown,
    organisation_not_allowed,
    body_too_large,
    header_too_large,
    malformed_request,
    context_unknown,
    rate_exceeded,
    entry_throttled,
    queue_full,
    queue_delay,
    importance_shed,
    deadline_unreachable,
    deadline_expired,
    no_upstream,
    upstream_unreachable,
    upstream_failed,
    upstream_shed,
    starting,
    leaving,
    draining,
    duplicate_attempt,
    idempotency_key_invalid,
    idempotency_key_expired,
    idempotency_home_lost,
    idempotency_running,
    idempotency_answer_dropped,
    idempotency_table_full,
    connection_lost,
    caller_gone,
    retries_exhausted,
    invariant_violated,
    upstream_limited,
    request_quarantined,
    request_isolated,
    count // number of reasons; not a reason itself
};

/// Returns the metric label, which is also the member `reason` of a problem document.
std::string_view to_string(refusal_reason reason);
std::string_view to_string(outcome result);

/// Inverse of to_string. Returns nullopt for an unknown name.
std::optional<refusal_reason> refusal_reason_from_string(std::string_view name);

/// Returns the HTTP status of the response to a request that was refused for this reason.
int http_status(refusal_reason reason);

/// A refusal, as passed between plugins and between nodes.
struct refusal {
    refusal_reason reason = refusal_reason::invariant_violated;
    outcome result = outcome::unknown;
    /// Time after which a retry may succeed; zero if the response has no Retry-After header.
    duration retry_after{0};

    bool operator==(const refusal&) const = default;
};

/// Returns a refusal of a request of which no byte has reached the upstream.
constexpr refusal not_run_refusal(refusal_reason reason, duration retry_after = duration{0})
{
    return {reason, outcome::not_run, retry_after};
}

} // namespace mulberry
