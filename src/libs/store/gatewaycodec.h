#pragma once

#include "libs/store/keyvaluestore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Encodes and decodes the JSON bodies of the etcd v3 gateway. Keys and values are in base64 and 64-bit numbers are
/// texts; the gateway omits members whose value is zero, false or empty.
namespace mulberry::gateway {

constexpr std::string_view range_path = "/v3/kv/range";
constexpr std::string_view txn_path = "/v3/kv/txn";
constexpr std::string_view grant_path = "/v3/lease/grant";
constexpr std::string_view keep_alive_path = "/v3/lease/keepalive";
constexpr std::string_view watch_path = "/v3/watch";

/// gRPC status codes in the gateway's error bodies.
enum class status_code : std::uint8_t {
    invalid_argument = 3,
    not_found = 5,
    permission_denied = 7,
    resource_exhausted = 8,
    unimplemented = 12,
    unavailable = 14,
    unauthenticated = 16,
};

std::string to_base64(std::string_view bytes);
/// Empty if the text is not base64 with the standard alphabet and padding.
std::optional<std::string> from_base64(std::string_view text);

/// End of the range of keys with the prefix: the first key after all of them. For an empty prefix, or one of 0xff bytes
/// only, this is "\0", which the gateway takes as a range without an end.
std::string prefix_end(std::string_view prefix);
/// Begin of the range of keys with the prefix; "\0" for the empty prefix, because the gateway rejects an empty key.
std::string prefix_begin(std::string_view prefix);

/// Bodies of requests. A range request with an empty range_end reads a single key.
std::string range_request(std::string_view key, std::string_view range_end);
std::string put_request(std::string_view key, std::int64_t expected_mod_revision, std::string_view value,
                        lease_id lease);
std::string delete_request(std::string_view key, std::int64_t expected_mod_revision);
std::string grant_request(std::int64_t ttl_seconds);
std::string keep_alive_request(lease_id lease);
std::string watch_request(std::string_view key, std::string_view range_end, std::int64_t start_revision);

/// Decode the bodies of responses. The result is empty if the body violates the protocol or does not fit the request.
std::optional<range_result> decode_range_response(std::string_view body);
/// The response to put_request or delete_request.
std::optional<put_result> decode_txn_response(std::string_view body, std::string_view key,
                                              std::int64_t expected_mod_revision);

struct granted_lease {
    lease_id id = 0;
    std::int64_t ttl_seconds = 0;
};

std::optional<granted_lease> decode_grant_response(std::string_view body);
/// Remaining time of the lease in seconds; 0 if it has expired.
std::optional<std::int64_t> decode_keep_alive_response(std::string_view body);

struct watch_message {
    std::vector<watch_event> events;
    /// True if the store has ended the watch.
    bool watch_ended = false;
};

std::optional<watch_message> decode_watch_message(std::string_view line);

struct gateway_error {
    std::int64_t code = 0;
    std::string message;
};

/// Decodes the error of a response or of a message in a stream. Empty if the text is not an error.
std::optional<gateway_error> decode_error(std::string_view body);

} // namespace mulberry::gateway
