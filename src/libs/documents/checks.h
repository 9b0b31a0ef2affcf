#pragma once

#include <string>
#include <string_view>

namespace mulberry::detail {

/// Each check returns an error message, or an empty string if the text is valid.

/// Checks the name of a node, failure domain, region, service, organisation, route or key: at most 63 lower-case
/// letters, digits and inner hyphens. Names appear in paths, host names and metric labels. They also appear in
/// idempotency keys, where a dot terminates each component, so a name contains no dot.
std::string check_name(std::string_view text);

/// Checks a name that callers use as the first segment of a path. Reserved names are invalid.
std::string check_service_name(std::string_view text);

/// Checks an HTTP method, in upper case.
std::string check_method(std::string_view text);

/// Checks the path pattern of a route.
std::string check_pattern(std::string_view text);

/// Checks a URL of the form "http://address:port" or "https://address:port", without a path.
std::string check_base_url(std::string_view text);

/// Accepts every text.
std::string check_any_text(std::string_view text);

} // namespace mulberry::detail
