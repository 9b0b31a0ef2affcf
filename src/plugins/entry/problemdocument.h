#pragma once

#include "libs/base/refusal.h"

#include <string>
#include <string_view>

namespace mulberry {

/// Returns the problem document (RFC 9457) in JSON that is the body of the response to a refused request.
std::string problem_document(const refusal& cause, std::string_view request_id);

inline constexpr std::string_view problem_content_type = "application/problem+json";

} // namespace mulberry
