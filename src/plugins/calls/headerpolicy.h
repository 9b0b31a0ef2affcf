#pragma once

#include "libs/http/httpfields.h"
#include "plugins/calls/callrequest.h"
#include "plugins/calls/fieldnames.h"

#include <string_view>

namespace mulberry {

/// Prefix of the header fields of this system. Fields with this prefix are removed from the messages of callers and
/// upstreams; the ones listed below are read before that for the stated purpose.
inline constexpr std::string_view internal_header_prefix = "mulberry-";

/// Context token of the running call. Sent to the upstream, which sends it back with its nested calls.
inline constexpr std::string_view context_header = "Mulberry-Context";
/// Id of the request. Sent in every response and to the upstream.
inline constexpr std::string_view request_id_header = "Mulberry-Request-Id";
/// Milliseconds until the deadline. Read from callers and sent to the upstream.
inline constexpr std::string_view deadline_header = "Mulberry-Deadline-Ms";
/// Sent to the upstream: the organisation and the importance of the request.
inline constexpr std::string_view organisation_header = "Mulberry-Organisation";
inline constexpr std::string_view importance_header = "Mulberry-Importance";
/// Sent to callers: the response is the stored one of an earlier run under the same idempotency key.
inline constexpr std::string_view replayed_header = "Mulberry-Replayed";
inline constexpr std::string_view host_header = "Host";
inline constexpr std::string_view idempotency_key_header = "Idempotency-Key";

/// The header fields that may be forwarded: all except credentials, fields of this system and connection-specific
/// fields (RFC 9110 section 7.6.1), which include those listed in the Connection field.
header_list forwardable_headers(const header_list& headers);

/// As above, but also without the fields that this system sends to the upstream under these names.
header_list forwardable_headers(const header_list& headers, const field_names& names);

} // namespace mulberry
