#pragma once

#include "libs/base/time.h"

#include <cstddef>
#include <cstdint>

namespace mulberry {

/// Limits of peer connections, the same on every node.
struct peer_settings {
    /// Payload of one call or answer.
    std::size_t max_message_bytes = std::size_t{4} * 1024 * 1024;
    /// Calls at a time on one connection.
    std::uint32_t max_concurrent_streams = 1000;
    /// Calls to one peer that wait for the connection or a free stream; further ones fail as not_sent.
    std::size_t max_waiting_calls = 1000;
    /// Announced bytes of calls that a server is still receiving; further calls are refused as not processed.
    std::size_t max_receiving_bytes = std::size_t{64} * 1024 * 1024;
    /// Connections that a server accepts; further ones are closed at once.
    std::size_t max_connections = 4096;
    /// From the start of the connection until the peer's first SETTINGS frame.
    duration connect_timeout{std::chrono::seconds(2)};
    /// A client closes a connection without calls after this time.
    duration idle_timeout{std::chrono::seconds(60)};
    /// A connection with calls that receives nothing for this long is probed by a PING; without an answer in the same
    /// time again it is lost. Detects peers that vanish without closing.
    duration ping_after{std::chrono::seconds(2)};
};

/// Counts since the start of a client or server.
struct peer_counters {
    std::uint64_t connections_opened = 0;
    /// Connections that failed before any call: refused, timed out, no valid certificate, or another node's name.
    std::uint64_t connections_failed = 0;
    std::uint64_t connections_lost = 0;
    std::uint64_t calls = 0;
    std::uint64_t calls_cancelled = 0;
    /// Violations of HTTP/2 or of the message format by the other side.
    std::uint64_t protocol_errors = 0;
    std::uint64_t oversized_messages = 0;
    /// Messages that were not as long as announced.
    std::uint64_t length_mismatches = 0;
    /// Bytes on the connections, TLS overhead not included.
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

} // namespace mulberry
