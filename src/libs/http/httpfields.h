#pragma once

#include "libs/http/httpclient.h"

#include <cstdint>

namespace mulberry {

/// Returns the value of the first field with this name, compared case-insensitively; empty if there is none.
std::string_view find_header(const http_headers& headers, std::string_view name);

/// Estimate of the memory that header fields occupy while their message is held, which is many times their length for
/// short fields.
std::size_t held_bytes(const http_headers& headers);

namespace detail {

/// Compares ASCII text case-insensitively.
bool is_same_name(std::string_view left, std::string_view right);

/// Returns true for a token as defined by RFC 9110, the syntax of methods and field names.
bool is_token(std::string_view text);

/// Returns true if the value contains no control character but tabs. A control character could end the line.
bool is_field_value(std::string_view text);

/// Returns true for fields that describe one connection or its framing; this process sets them itself.
bool is_connection_field(std::string_view name);

/// Returns true for the fields that determine where a body ends.
bool is_framing_field(std::string_view name);

/// How the header fields of a message announce the end of its body.
enum class body_framing : std::uint8_t {
    none,          // no length and no chunked encoding
    length,        // exactly one Content-Length
    chunked,       // exactly one Transfer-Encoding: chunked
    contradictory, // fields that are repeated, malformed or of both kinds
};

body_framing framing_of(const http_headers& headers);

} // namespace detail

} // namespace mulberry
