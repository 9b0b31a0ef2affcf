#pragma once

#include <cstdint>
#include <string_view>

namespace mulberry {

/// Errors of a call to another daemon.
enum class peer_error : std::uint8_t {
    not_sent,         // no byte of this call can have been written
    refused,          // the peer states that it did not process the call (GOAWAY or REFUSED_STREAM)
    connection_lost,  // the connection or the stream ended after the call may have been sent
    rejected,         // the peer's transport answered that the call is malformed or its path unknown; no handler ran
    too_large,        // the call (then nothing was sent, or the peer dropped it unprocessed) exceeds the limit
    answer_too_large, // the answer exceeds the limit; the handler has run
    bad_answer,       // the answer broke the protocol or was shorter than announced; the handler may have run
    listen_failed,    // the server's address cannot be used
};

std::string_view to_string(peer_error error);

/// True if the peer's handler cannot have seen the call.
bool certainly_not_processed(peer_error error);

} // namespace mulberry
