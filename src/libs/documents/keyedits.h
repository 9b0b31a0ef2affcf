#pragma once

#include "libs/documents/organisationsdocument.h"

#include <optional>
#include <string>
#include <string_view>

namespace mulberry {

/// Adds a key of an organisation to the text of an organisations document and returns the new text. Comments and order
/// are preserved if the organisations are written as [[organisations]] tables. Returns nullopt if the document is
/// invalid or the organisation does not exist.
std::optional<std::string> add_key(std::string_view text, std::string_view organisation, const organisation_key& key);

/// Removes a key of an organisation in the same way. Returns nullopt if the document is invalid or the organisation
/// does not have the key.
std::optional<std::string> remove_key(std::string_view text, std::string_view organisation, std::string_view key_id);

} // namespace mulberry
