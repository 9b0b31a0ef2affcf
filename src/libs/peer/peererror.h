#pragma once

#include <cstdint>
#include <string_view>

namespace mulberry {

/// Errors of a call to another daemon.
enum class peer_error : std::uint8_t {
    not_sent,         // no byte of this call was written
    refused,          // the peer reports that it did not process the call (GOAWAY or REFUSED_STREAM)
    connection_lost,  // the connection or the stream ended after the call may have been sent
    rejected,         // the peer responded that the call is malformed or its path unknown; no handler ran
    too_large,        // the call exceeds the limit: it was not sent, or the peer discarded it unprocessed
    answer_too_large, // the response exceeds the limit; the handler has run
    bad_answer,       // the response violated the protocol or its announced length; the handler may have run
    listen_failed,    // the server's address cannot be used
};

std::string_view to_string(peer_error error);

/// Returns true if the peer's handler cannot have received the call.
bool is_certainly_unprocessed(peer_error error);

} // namespace mulberry
