#pragma once

#include "libs/http/httpclient.h"
#include "libs/store/keyvaluestore.h"

#include <cstdint>

namespace mulberry::detail {

/// Whether a call can change the store.
enum class call_kind : std::uint8_t { read, write };

/// The error of a call whose request got no response.
store_error store_error_of(call_kind kind, http_error error);

/// The error of a call whose response has an error status or cannot be decoded.
store_error store_error_of(call_kind kind, const http_response& response);

/// Whether the call may be sent to another endpoint after the error: always for a read that failed there, for a write
/// only if it certainly had no effect.
bool may_fail_over(call_kind kind, store_error error);

} // namespace mulberry::detail
