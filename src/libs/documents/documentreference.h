#pragma once

#include <string>

namespace mulberry {

/// Markdown tables of the keys of each document, from the tables that the parsers use.
std::string service_document_reference();
std::string organisations_document_reference();

/// The whole of docs/reference.md: both documents and the daemon's settings.
std::string reference_page();

} // namespace mulberry
