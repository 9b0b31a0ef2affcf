#pragma once

#include "libs/base/refusal.h"

#include <string>
#include <string_view>

namespace mulberry {

/// Body of a refusal for the caller, a problem document in JSON (RFC 9457).
std::string problem_document(const refusal& why, std::string_view request_id);

inline constexpr std::string_view problem_content_type = "application/problem+json";

} // namespace mulberry
