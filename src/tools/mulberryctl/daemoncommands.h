#pragma once

#include "tools/mulberryctl/commandline.h"
#include "tools/mulberryctl/commandreport.h"
#include "tools/mulberryctl/operatorsapi.h"

#include <functional>

namespace mulberry {

/// Runs the commands that call the operators' API of a daemon.
class daemon_commands {
public:
    /// The wait function sleeps between two requests for the missing confirmations.
    daemon_commands(operators_api& api, std::function<void(duration)> wait) : m_api(api), m_wait(std::move(wait)) {}

    command_report run(const ctl_command_line& line);

private:
    command_report get(const std::string& name);
    command_report put(const std::string& name, const std::string& file, std::int64_t revision, duration max_wait);
    command_report grant(const std::string& organisation, std::string key_id, duration max_wait);
    command_report withdraw(const std::string& organisation, const std::string& key_id, duration max_wait);
    command_report explain(const std::string& request_id);

    /// Returns the changed text of a document, or nothing after it has set the failure report.
    using document_edit = std::function<std::optional<std::string>(const std::string& text, command_report& failure)>;
    /// Edits the organisations document in the store. After a conflict with another writer, the edit is applied again
    /// to the document that is now in force.
    command_report change_organisations(const document_edit& edit, duration max_wait);

    /// Waits until no confirmation is missing, or for max_wait, and adds the nodes and failure domains that have not
    /// confirmed the revision to the report.
    void add_confirmations(command_report& report, std::int64_t revision, duration max_wait);

    operators_api& m_api;
    std::function<void(duration)> m_wait;
};

} // namespace mulberry
