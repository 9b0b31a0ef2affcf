#include "libs/documents/documentcheck.h"

#include "libs/base/asyncerror.h"
#include "libs/documents/organisationsdocument.h"
#include "libs/documents/servicedocument.h"
#include "libs/documents/tablereader.h"

namespace mulberry {

document_errors check_document(std::string_view name, std::string_view text, std::string_view file)
{
    if (name == organisations_document_name)
        return error_of(parse_organisations_document(text, file), document_errors{});
    auto document = parse_service_document(text, file);
    if (!document)
        return error_of(std::move(document), document_errors{});
    if (document->service == name)
        return {};
    return {{{std::string(file), 0, "service",
              fmt::format("is \"{}\", but the document is stored as \"{}\"", document->service, name)}}};
}

std::string_view to_string(document_kind kind)
{
    switch (kind) {
    case document_kind::service:
        return "service document";
    case document_kind::organisations:
        return "organisations document";
    case document_kind::settings:
        return "daemon settings";
    }
    return "invalid";
}

document_kind detect_document_kind(std::string_view text)
{
    std::vector<document_error> errors;
    const auto table = detail::parse_toml(text, {}, errors);
    if (!table)
        return document_kind::service;
    if (table->contains("node_name") || table->contains("upstream_url") || table->contains("store"))
        return document_kind::settings;
    if (table->contains("organisations") || table->contains("view_age_limit"))
        return document_kind::organisations;
    return document_kind::service;
}

} // namespace mulberry
