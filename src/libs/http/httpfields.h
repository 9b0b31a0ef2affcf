#pragma once

#include "libs/http/httpclient.h"

#include <cstdint>

namespace mulberry {

/// The value of the first field with this name, compared without case; empty if there is none.
std::string_view find_header(const http_headers& headers, std::string_view name);

namespace detail {

/// Compares ASCII text without case.
bool same_name(std::string_view left, std::string_view right);

/// True for a token as RFC 9110 defines it: the form of methods and field names.
bool is_token(std::string_view text);

/// True if the value cannot end its line.
bool is_field_value(std::string_view text);

/// True for fields that describe one connection or the framing on it and are therefore set by this process itself.
bool is_connection_field(std::string_view name);

/// How the fields of a message announce the end of its body.
enum class body_framing : std::uint8_t {
    none,          // neither length nor chunked encoding
    length,        // one Content-Length
    chunked,       // one Transfer-Encoding: chunked
    contradictory, // repeated, malformed or both
};

body_framing framing_of(const http_headers& headers);

} // namespace detail

} // namespace mulberry
