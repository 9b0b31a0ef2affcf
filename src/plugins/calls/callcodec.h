#pragma once

#include "libs/memory/messageparts.h"
#include "plugins/calls/callrequest.h"
#include "plugins/calls/callresponse.h"

#include <string>
#include <string_view>

#include <boost/leaf.hpp>

namespace mulberry {

namespace leaf = boost::leaf;

/// Errors of calls between nodes.
enum class call_error : std::uint8_t {
    not_sent,        // the receiver's handler certainly has not received the call
    connection_lost, // the call may have been received
    malformed,       // the message could not be decoded
};

std::string_view to_string(call_error error);

/// The body of the result shares its bytes with the body of the message.
message_parts encode(const call_request& request);
message_parts encode(const call_response& response);

/// Decodes an untrusted message and validates every field. Fails with call_error::malformed. The body of the result
/// shares the bytes of the encoded message.
leaf::result<call_request> decode_call_request(const message_body& bytes);
leaf::result<call_response> decode_call_response(const message_body& bytes);

} // namespace mulberry
