#pragma once

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

std::string encode(const call_request& request);
std::string encode(const call_response& response);

/// Decodes an untrusted message and validates every field. Fails with call_error::malformed.
leaf::result<call_request> decode_call_request(std::string_view bytes);
leaf::result<call_response> decode_call_response(std::string_view bytes);

} // namespace mulberry
