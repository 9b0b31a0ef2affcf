#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace mulberry {

/// Maximum nesting of arrays and objects in a JSON text that is parsed.
constexpr std::size_t max_json_depth = 32;

/// Parses JSON that any program may have written. A text that is not valid JSON, has a number that no double can
/// represent or is nested deeper than max_json_depth gives a value in which the functions below find no member. The
/// depth is limited because each level takes far more memory than the byte that opens it.
nlohmann::json parse_json(std::string_view text);

/// Functions that read one member of a JSON object and validate its type. The result is empty if `object` is not an
/// object, or if the member is missing or has another type.
std::optional<std::string> text_of(const nlohmann::json& object, const char* name);
/// An integer; empty also for one that does not fit into 64 bits.
std::optional<std::int64_t> integer_of(const nlohmann::json& object, const char* name);
std::optional<std::uint64_t> unsigned_of(const nlohmann::json& object, const char* name);
std::optional<double> number_of(const nlohmann::json& object, const char* name);
std::optional<bool> flag_of(const nlohmann::json& object, const char* name);
/// A member that is an object; null if there is none.
const nlohmann::json* object_of(const nlohmann::json& object, const char* name);
/// A member that is an array; null if there is none.
const nlohmann::json* list_of(const nlohmann::json& object, const char* name);

} // namespace mulberry
