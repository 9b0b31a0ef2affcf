#pragma once

#include <string>
#include <string_view>

namespace mulberry::detail {

/// Each check returns what is wrong with the text, or an empty text.

/// Name of a node, domain, region, service, organisation or route: lower-case letters, digits and inner hyphens, at
/// most 63. Names are parts of paths, host names, metric labels and of idempotency keys, whose parts end with dots.
std::string check_name(std::string_view text);

/// A name that callers can use as the first segment of a path.
std::string check_service_name(std::string_view text);

std::string check_method(std::string_view text);

/// Pattern of a route's path.
std::string check_pattern(std::string_view text);

/// "http://" or "https://", then an address and a port, without a path.
std::string check_base_url(std::string_view text);

std::string check_any_text(std::string_view text);

} // namespace mulberry::detail
