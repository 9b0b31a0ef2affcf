#pragma once

#include "libs/base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace mulberry {

/// Limits of peer connections. All nodes use the same values.
struct peer_settings {
    /// Maximum payload of one call or response.
    std::size_t max_message_bytes = std::size_t{4} * 1024 * 1024;
    /// Maximum number of concurrent calls on one connection.
    std::uint32_t max_concurrent_streams = 1000;
    /// Maximum number of calls to one peer that wait for the connection or a free stream; further calls fail as
    /// not_sent.
    std::size_t max_waiting_calls = 1000;
    /// Maximum total payload, as announced, of the calls that a server is receiving at a time; further calls are
    /// refused as not processed.
    std::size_t max_receiving_bytes = std::size_t{64} * 1024 * 1024;
    /// Path whose calls and responses count against the memory budget. Calls with other paths are control messages,
    /// which must arrive when memory is short.
    std::string metered_path;
    /// Maximum number of connections that a server accepts. A further one replaces the oldest connection on which no
    /// call has been accepted; if there is none, it is closed at once.
    std::size_t max_connections = 4096;
    /// A server closes a connection on which no call has been accepted after this time.
    duration first_call_timeout{std::chrono::seconds(5)};
    /// Time limit from the start of the connection until the peer's first SETTINGS frame.
    duration connect_timeout{std::chrono::seconds(2)};
    /// A client closes a connection that has had no calls for this time.
    duration idle_timeout{std::chrono::seconds(60)};
    /// If a connection with open calls receives nothing for this time, a PING is sent; if nothing arrives in the same
    /// time again, the connection is closed as lost. Detects peers that disappear without closing the connection.
    duration ping_after{std::chrono::seconds(2)};
};

/// Counters since the start of a client or server.
struct peer_counters {
    std::uint64_t connections_opened = 0;
    /// Connections that failed before any call: connection refused, timeout, invalid certificate or wrong node name.
    std::uint64_t connections_failed = 0;
    std::uint64_t connections_lost = 0;
    std::uint64_t calls = 0;
    std::uint64_t calls_cancelled = 0;
    /// Violations of HTTP/2 or of the message format by the peer.
    std::uint64_t protocol_errors = 0;
    std::uint64_t oversized_messages = 0;
    /// Messages whose length differed from the announced one.
    std::uint64_t length_mismatches = 0;
    /// Bytes on the connections, without TLS overhead.
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

} // namespace mulberry
