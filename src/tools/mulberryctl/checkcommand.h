#pragma once

#include "tools/mulberryctl/commandreport.h"

#include <span>
#include <string>

namespace mulberry {

/// Checks each file as the document that its keys suggest, and routes of service documents against the organisations
/// document if one is among the files. Refused if a file is invalid; unreadable files are a usage error.
command_report check_files(std::span<const std::string> files);

} // namespace mulberry
