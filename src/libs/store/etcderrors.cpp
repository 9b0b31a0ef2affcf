#include "libs/store/etcderrors.h"

#include "libs/store/gatewaycodec.h"

#include <algorithm>
#include <array>

namespace mulberry::detail {

namespace {

constexpr int first_server_error_status = 500;

/// True for the codes that the store reports only before a write is proposed or after it was rejected. The codes for
/// unavailable, deadline exceeded and internal errors are excluded, because the store also reports them for writes that
/// take effect later.
bool is_without_effect(std::int64_t code)
{
    constexpr std::array without_effect{gateway::status_code::invalid_argument, gateway::status_code::permission_denied,
                                        gateway::status_code::resource_exhausted, gateway::status_code::unimplemented,
                                        gateway::status_code::unauthenticated};
    return std::ranges::any_of(without_effect, [code](auto known) { return static_cast<std::int64_t>(known) == code; });
}

store_error store_error_of(call_kind kind, const gateway::gateway_error& error)
{
    const auto matches = [&](gateway::status_code code, std::string_view text) {
        return error.code == static_cast<std::int64_t>(code) && error.message.find(text) != std::string::npos;
    };
    if (kind == call_kind::read)
        return store_error::unavailable;
    if (matches(gateway::status_code::not_found, "requested lease not found"))
        return store_error::no_such_lease;
    if (matches(gateway::status_code::invalid_argument, "request is too large"))
        return store_error::too_large;
    if (is_without_effect(error.code))
        return store_error::unavailable;
    return store_error::unknown_outcome;
}

} // namespace

store_error store_error_of(call_kind kind, http_error error)
{
    if (error == http_error::not_sent)
        return store_error::unavailable;
    if (kind == call_kind::write)
        return store_error::unknown_outcome;
    return error == http_error::too_large ? store_error::bad_answer : store_error::unavailable;
}

store_error store_error_of(call_kind kind, const http_response& response)
{
    if (const auto error = gateway::decode_error(response.body))
        return store_error_of(kind, *error);
    // The status may come from a proxy, so it does not show whether the store has run the request.
    if (response.status >= first_server_error_status)
        return kind == call_kind::read ? store_error::unavailable : store_error::unknown_outcome;
    return store_error::bad_answer;
}

bool may_fail_over(call_kind kind, store_error error)
{
    if (error == store_error::unavailable)
        return true;
    return kind == call_kind::read && error == store_error::bad_answer;
}

} // namespace mulberry::detail
