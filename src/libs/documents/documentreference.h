#pragma once

#include <string>

namespace mulberry {

/// Markdown tables of the keys of each document, from the tables that the parsers use.
std::string service_document_reference();
std::string organisations_document_reference();

/// Both documents and the daemon's settings in one page.
std::string reference_page();

} // namespace mulberry
