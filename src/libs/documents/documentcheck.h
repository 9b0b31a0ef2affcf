#pragma once

#include "libs/documents/documenterrors.h"

#include <cstdint>
#include <string_view>

namespace mulberry {

/// Name under which the organisations document is stored. Every other document is stored under the name of its service.
inline constexpr std::string_view organisations_document_name = "organisations";

/// Checks a document that an operator writes to the store under the given name. Returns no errors if the text is valid.
/// A service document must contain the name of the service under which it is stored.
document_errors check_document(std::string_view name, std::string_view text, std::string_view file);

enum class document_kind : std::uint8_t { service, organisations, settings };

std::string_view to_string(document_kind kind);

/// Determines the kind of a document from its top-level keys. Returns document_kind::service if no key identifies the
/// kind.
document_kind detect_document_kind(std::string_view text);

} // namespace mulberry
