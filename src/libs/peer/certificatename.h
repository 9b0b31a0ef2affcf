#pragma once

#include <optional>
#include <string>

#include <openssl/types.h>

namespace mulberry::detail {

/// The only subject common name of a certificate. Empty if there is none or several, or if it is empty or holds a zero
/// byte, which could make two names look alike.
std::optional<std::string> common_name(const X509* certificate);

} // namespace mulberry::detail
