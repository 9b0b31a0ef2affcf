#pragma once

#include "libs/http/httpclient.h"
#include "libs/store/keyvaluestore.h"

#include <cstdint>

namespace mulberry::detail {

/// Whether a call can change the store.
enum class call_kind : std::uint8_t { read, write };

/// The store's error for a request without an answer.
store_error store_error_of(call_kind kind, http_error error);

/// The store's error for an answer that is not the expected one.
store_error store_error_of(call_kind kind, const http_answer& answer);

/// Whether another endpoint may be asked after the error.
bool may_fail_over(call_kind kind, store_error error);

} // namespace mulberry::detail
