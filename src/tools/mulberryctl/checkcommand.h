#pragma once

#include "tools/mulberryctl/commandreport.h"

#include <span>
#include <string>

namespace mulberry {

/// Validates each file as the kind of document that its keys indicate. If an organisations document is among the files,
/// the report warns about routes of service documents that name an organisation which it does not contain. The exit
/// code is refused if a file is invalid, and usage if a file cannot be read.
command_report check_files(std::span<const std::string> files);

} // namespace mulberry
