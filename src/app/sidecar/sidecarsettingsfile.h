#pragma once

#include "app/sidecar/sidecarsettings.h"
#include "libs/documents/documenterrors.h"

#include <string>
#include <string_view>

#include <boost/leaf.hpp>

namespace mulberry {

/// Parses and validates the settings of a sidecar. Fails with document_errors, which contain file, line and key.
boost::leaf::result<sidecar_settings> parse_sidecar_settings(std::string_view text, std::string_view file);

/// Returns a Markdown table that describes all settings of a sidecar.
std::string sidecar_settings_reference();

} // namespace mulberry
