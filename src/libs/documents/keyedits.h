#pragma once

#include "libs/documents/organisationsdocument.h"

#include <optional>
#include <string>
#include <string_view>

namespace mulberry {

/// The text of a valid organisations document with one more key of an organisation. Comments and order are kept where
/// the text has the usual form with [[organisations]] tables. Empty if the organisation does not exist.
std::optional<std::string> add_key(std::string_view text, std::string_view organisation, const organisation_key& key);

/// The text without a key. Empty if the organisation does not have it.
std::optional<std::string> remove_key(std::string_view text, std::string_view organisation, std::string_view key_id);

} // namespace mulberry
