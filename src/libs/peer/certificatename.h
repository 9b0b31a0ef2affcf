#pragma once

#include <optional>
#include <string>

#include <openssl/types.h>

namespace mulberry::detail {

/// Returns the subject common name of a certificate. Returns no value if there is none or more than one, or if the name
/// is empty or contains a zero byte, with which two different names could look the same.
std::optional<std::string> common_name(const X509* certificate);

} // namespace mulberry::detail
