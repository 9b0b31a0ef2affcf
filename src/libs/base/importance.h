#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace mulberry {

/// Importance of a request. Requests with lower values are shed first. The entry sets the importance, and nodes
/// downstream never raise it.
enum class importance : std::uint8_t { background = 0, normal = 1, high = 2, critical = 3 };

inline constexpr std::array all_importances{importance::background, importance::normal, importance::high,
                                            importance::critical};

/// Returns the name used in documents, metrics and accounts.
std::string_view to_string(importance level);

/// Inverse of to_string. Returns nullopt for an unknown name.
std::optional<importance> importance_from_string(std::string_view name);

} // namespace mulberry
