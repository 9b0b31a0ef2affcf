#pragma once

#include "libs/http/httpfields.h"
#include "plugins/calls/callrequest.h"
#include "plugins/calls/fieldnames.h"

#include <string_view>

namespace mulberry {

/// Header fields of this system. All fields with this prefix are removed from what callers and upstreams send, except
/// those that are read for the purpose named here.
inline constexpr std::string_view internal_header_prefix = "mulberry-";

/// Sent to the upstream and back with its nested calls: the token of the running call.
inline constexpr std::string_view context_header = "Mulberry-Context";
/// In every answer and to the upstream.
inline constexpr std::string_view request_id_header = "Mulberry-Request-Id";
/// From callers and to the upstream: milliseconds left.
inline constexpr std::string_view deadline_header = "Mulberry-Deadline-Ms";
/// To the upstream: for whom it works and how much the request matters.
inline constexpr std::string_view organisation_header = "Mulberry-Organisation";
inline constexpr std::string_view importance_header = "Mulberry-Importance";
/// To callers: the answer is that of an earlier run under the same idempotency key.
inline constexpr std::string_view replayed_header = "Mulberry-Replayed";
inline constexpr std::string_view host_header = "Host";
inline constexpr std::string_view idempotency_key_header = "Idempotency-Key";

/// The fields that may travel on: without credentials, without fields of this system, and without those that belong to
/// one connection (RFC 9110 section 7.6.1), among them the ones that the Connection field names.
header_list forwardable(const header_list& headers);

/// The same, also without the fields by these names that this system sets towards the upstream.
header_list forwardable(const header_list& headers, const field_names& names);

} // namespace mulberry
