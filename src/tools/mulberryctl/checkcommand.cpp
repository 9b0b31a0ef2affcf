#include "tools/mulberryctl/checkcommand.h"

#include "libs/base/asyncerror.h"
#include "libs/base/textfile.h"
#include "libs/documents/daemonsettings.h"
#include "libs/documents/documentcheck.h"
#include "libs/documents/organisationsdocument.h"
#include "libs/documents/servicedocument.h"
#include "libs/documents/units.h"

#include <fmt/format.h>

namespace mulberry {

namespace {

using nlohmann::json;

class file_checker {
public:
    void check(const std::string& file)
    {
        const auto text = read_text_file(file);
        if (!text) {
            m_report.code = exit_code::usage;
            m_report.text += fmt::format("{}: cannot be read\n", file);
            m_files.push_back({{"file", file}, {"valid", false}, {"message", "cannot be read"}});
            return;
        }
        const document_kind kind = detect_document_kind(*text);
        json entry{{"file", file}, {"kind", to_string(kind)}};
        const document_errors errors = check_text(kind, *text, file, entry);
        add_result(file, kind, errors, entry);
    }

    /// Adds the warnings that need all files, since a route and its organisations may be in different files.
    command_report finish()
    {
        json warnings = json::array();
        for (const auto& [file, service] : m_services) {
            for (const route& service_route : service.routes)
                warn_of_unknown_organisations(file, service_route, warnings);
        }
        m_report.data["files"] = std::move(m_files);
        m_report.data["warnings"] = std::move(warnings);
        return std::move(m_report);
    }

private:
    document_errors check_text(document_kind kind, const std::string& text, const std::string& file, json& entry)
    {
        if (kind == document_kind::settings)
            return error_of(parse_daemon_settings(text, file), document_errors{});
        if (kind == document_kind::service) {
            auto service = parse_service_document(text, file);
            if (!service)
                return error_of(std::move(service), document_errors{});
            m_services.emplace_back(file, std::move(*service));
            return {};
        }
        auto organisations = parse_organisations_document(text, file);
        if (!organisations)
            return error_of(std::move(organisations), document_errors{});
        const std::string limit = duration_text(organisations->view_age_limit);
        entry["view_age_limit"] = limit;
        m_withdrawal_text +=
            fmt::format("{}: a withdrawn key may remain valid for up to {} on a disconnected node\n", file, limit);
        m_organisations = std::move(*organisations);
        return {};
    }

    void add_result(const std::string& file, document_kind kind, const document_errors& errors, json& entry)
    {
        entry["valid"] = errors.errors.empty();
        entry["errors"] = json::array();
        for (const document_error& error : errors.errors) {
            entry["errors"].push_back(
                {{"file", error.file}, {"line", error.line}, {"key", error.key}, {"message", error.message}});
        }
        m_files.push_back(std::move(entry));
        if (errors.errors.empty()) {
            m_report.text +=
                fmt::format("{}: valid {}\n", file, to_string(kind)) + std::exchange(m_withdrawal_text, {});
            return;
        }
        m_report.text += to_string(errors);
        if (m_report.code == exit_code::ok)
            m_report.code = exit_code::refused;
    }

    void warn_of_unknown_organisations(const std::string& file, const route& service_route, json& warnings)
    {
        for (const std::string& name : service_route.organisations) {
            if (!m_organisations || m_organisations->find(name) != nullptr)
                continue;
            const std::string warning =
                fmt::format("{}: warning: route {} names the unknown organisation {}", file, service_route.name, name);
            m_report.text += warning + "\n";
            warnings.push_back(warning);
        }
    }

    command_report m_report;
    json m_files = json::array();
    /// How long a withdrawn key may remain valid, for the organisations document that is being checked.
    std::string m_withdrawal_text;
    std::vector<std::pair<std::string, service_document>> m_services;
    std::optional<organisations_document> m_organisations;
};

} // namespace

command_report check_files(std::span<const std::string> files)
{
    file_checker checker;
    for (const std::string& file : files)
        checker.check(file);
    return checker.finish();
}

} // namespace mulberry
