#include "libs/base/refusal.h"

#include <array>

namespace mulberry {

namespace {

struct reason_row {
    refusal_reason reason;
    std::string_view name;
    int status;
};

constexpr std::array reason_table{
    reason_row{refusal_reason::key_missing, "key_missing", 401},
    reason_row{refusal_reason::key_unknown, "key_unknown", 401},
    reason_row{refusal_reason::view_stale, "view_stale", 503},
    reason_row{refusal_reason::route_unknown, "route_unknown", 404},
    reason_row{refusal_reason::organisation_not_allowed, "organisation_not_allowed", 403},
    reason_row{refusal_reason::body_too_large, "body_too_large", 413},
    reason_row{refusal_reason::header_too_large, "header_too_large", 431},
    reason_row{refusal_reason::malformed_request, "malformed_request", 400},
    reason_row{refusal_reason::context_unknown, "context_unknown", 403},
    reason_row{refusal_reason::rate_exceeded, "rate_exceeded", 429},
    reason_row{refusal_reason::entry_throttled, "entry_throttled", 503},
    reason_row{refusal_reason::queue_full, "queue_full", 503},
    reason_row{refusal_reason::queue_delay, "queue_delay", 503},
    reason_row{refusal_reason::importance_shed, "importance_shed", 503},
    reason_row{refusal_reason::deadline_unreachable, "deadline_unreachable", 504},
    reason_row{refusal_reason::deadline_expired, "deadline_expired", 504},
    reason_row{refusal_reason::no_upstream, "no_upstream", 503},
    reason_row{refusal_reason::upstream_unreachable, "upstream_unreachable", 503},
    reason_row{refusal_reason::upstream_failed, "upstream_failed", 502},
    reason_row{refusal_reason::upstream_shed, "upstream_shed", 503},
    reason_row{refusal_reason::starting, "starting", 503},
    reason_row{refusal_reason::leaving, "leaving", 503},
    reason_row{refusal_reason::draining, "draining", 503},
    reason_row{refusal_reason::duplicate_attempt, "duplicate_attempt", 409},
    reason_row{refusal_reason::idempotency_key_invalid, "idempotency_key_invalid", 400},
    reason_row{refusal_reason::idempotency_key_expired, "idempotency_key_expired", 409},
    reason_row{refusal_reason::idempotency_home_lost, "idempotency_home_lost", 503},
    reason_row{refusal_reason::idempotency_running, "idempotency_running", 409},
    reason_row{refusal_reason::idempotency_answer_dropped, "idempotency_answer_dropped", 409},
    reason_row{refusal_reason::idempotency_table_full, "idempotency_table_full", 503},
    reason_row{refusal_reason::connection_lost, "connection_lost", 502},
    reason_row{refusal_reason::caller_gone, "caller_gone", 499},
    reason_row{refusal_reason::retries_exhausted, "retries_exhausted", 503},
    reason_row{refusal_reason::invariant_violated, "invariant_violated", 500},
    reason_row{refusal_reason::upstream_limited, "upstream_limited", 503},
    reason_row{refusal_reason::request_quarantined, "request_quarantined", 503},
    reason_row{refusal_reason::request_isolated, "request_isolated", 503},
};

static_assert(reason_table.size() == static_cast<std::size_t>(refusal_reason::count),
              "every refusal reason needs a name and a status");

} // namespace

std::string_view to_string(refusal_reason reason)
{
    for (const reason_row& row : reason_table) {
        if (row.reason == reason)
            return row.name;
    }
    return "invalid";
}

std::string_view to_string(outcome result)
{
    switch (result) {
    case outcome::ran:
        return "ran";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

std::optional<refusal_reason> refusal_reason_from_string(std::string_view name)
{
    for (const reason_row& row : reason_table) {
        if (row.name == name)
            return row.reason;
    }
    return std::nullopt;
}

int http_status(refusal_reason reason)
{
    constexpr int internal_server_error = 500;
    for (const reason_row& row : reason_table) {
        if (row.reason == reason)
            return row.status;
    }
    return internal_server_error;
}

} // namespace mulberry
