#pragma once

#include "libs/documents/documenterrors.h"

#include <cstdint>
#include <string_view>

namespace mulberry {

/// Name of the organisations document; every other document has the name of its service.
inline constexpr std::string_view organisations_document_name = "organisations";

/// What an operator may write to the store under the name: empty if the text is valid. A service document must name the
/// service that it is stored under.
document_errors check_document(std::string_view name, std::string_view text, std::string_view file);

enum class document_kind : std::uint8_t { service, organisations, settings };

std::string_view to_string(document_kind kind);

/// Guesses the kind from the keys of the text; service if nothing tells.
document_kind kind_of_document(std::string_view text);

} // namespace mulberry
