#pragma once

#include "libs/store/keyvaluestore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// JSON bodies of the etcd v3 gateway: keys and values in base64, 64-bit numbers as texts, zero members left out.
namespace mulberry::gateway {

constexpr std::string_view range_path = "/v3/kv/range";
constexpr std::string_view txn_path = "/v3/kv/txn";
constexpr std::string_view grant_path = "/v3/lease/grant";
constexpr std::string_view keep_alive_path = "/v3/lease/keepalive";
constexpr std::string_view watch_path = "/v3/watch";

/// gRPC status codes that the gateway reports in error bodies.
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
/// Empty if the text is not padded base64 of the standard alphabet.
std::optional<std::string> from_base64(std::string_view text);

/// First key after all keys with the prefix; "\0", which means no end, for an empty prefix or one of 0xff only.
std::string prefix_end(std::string_view prefix);
/// First key of a range; "\0" for the empty prefix, because the gateway takes no empty key.
std::string prefix_begin(std::string_view prefix);

/// Requests. An empty range_end reads a single key.
std::string range_request(std::string_view key, std::string_view range_end);
std::string put_request(std::string_view key, std::int64_t expected_mod_revision, std::string_view value,
                        lease_id lease);
std::string delete_request(std::string_view key, std::int64_t expected_mod_revision);
std::string grant_request(std::int64_t ttl_seconds);
std::string keep_alive_request(lease_id lease);
std::string watch_request(std::string_view key, std::string_view range_end, std::int64_t start_revision);

/// Answers; empty for anything that the protocol does not allow for the request.
std::optional<range_result> read_range(std::string_view body);
/// The answer to put_request or delete_request.
std::optional<put_result> read_txn(std::string_view body, std::string_view key, std::int64_t expected_mod_revision);

struct granted_lease {
    lease_id id = 0;
    std::int64_t ttl_seconds = 0;
};

std::optional<granted_lease> read_grant(std::string_view body);
/// Seconds that the lease has left; 0 for a lapsed one.
std::optional<std::int64_t> read_keep_alive(std::string_view body);

struct watch_message {
    std::vector<watch_event> events;
    /// The store ended the watch.
    bool ended = false;
};

std::optional<watch_message> read_watch_message(std::string_view line);

struct gateway_error {
    std::int64_t code = 0;
    std::string message;
};

/// An error body, of a plain answer or of a stream; empty for any other text.
std::optional<gateway_error> read_error(std::string_view body);

} // namespace mulberry::gateway
