#include "plugins/entry/problemdocument.h"

#include <nlohmann/json.hpp>

namespace mulberry {

namespace {

std::string_view title_of(refusal_reason reason)
{
    switch (http_status(reason)) {
    case 400:
        return "The request is malformed.";
    case 401:
        return "The key is missing, unknown or withdrawn.";
    case 403:
        return "The route is not allowed for this caller.";
    case 404:
        return "There is no such service or route.";
    case 409:
        return "The idempotency key has been used.";
    case 413:
    case 431:
        return "The request is too large.";
    case 429:
        return "The organisation is over its rate.";
    case 504:
        return "The deadline cannot be met.";
    default:
        return "The request could not be served.";
    }
}

std::string_view detail_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::idempotency_key_invalid:
        return "An Idempotency-Key comes from POST /mulberry/v1/idempotency-keys/<service> and belongs to one request.";
    case refusal_reason::idempotency_home_lost:
        return "The node that ran requests with this key is gone; find out whether the request ran before repeating it "
               "with a new key.";
    case refusal_reason::idempotency_answer_dropped:
        return "The request ran or may have run; its answer is no longer known.";
    case refusal_reason::view_stale:
        return "This node cannot confirm that the key has not been withdrawn.";
    default:
        return {};
    }
}

} // namespace

std::string problem_document(const refusal& cause, std::string_view request_id)
{
    nlohmann::json document{
        {"title", title_of(cause.reason)},   {"status", http_status(cause.reason)},
        {"reason", to_string(cause.reason)}, {"not_run", cause.result == outcome::not_run},
        {"request_id", request_id},
    };
    if (cause.result == outcome::unknown)
        document["outcome"] = to_string(cause.result);
    if (const std::string_view detail = detail_of(cause.reason); !detail.empty())
        document["detail"] = detail;
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace mulberry
