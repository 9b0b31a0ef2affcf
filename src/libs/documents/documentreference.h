#pragma once

#include <string>

namespace mulberry {

/// Return Markdown tables of the keys of the document, generated from the tables that the parsers use.
std::string service_document_reference();
std::string organisations_document_reference();

/// Returns one page with the references of both documents and of the daemon's settings.
std::string reference_page();

} // namespace mulberry
