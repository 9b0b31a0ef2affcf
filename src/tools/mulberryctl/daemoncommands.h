#pragma once

#include "tools/mulberryctl/commandline.h"
#include "tools/mulberryctl/commandreport.h"
#include "tools/mulberryctl/operatorsapi.h"

#include <functional>

namespace mulberry {

/// The commands that need a daemon.
class daemon_commands {
public:
    /// The wait function pauses between two questions for confirmations.
    daemon_commands(operators_api& api, std::function<void(duration)> wait) : m_api(api), m_wait(std::move(wait)) {}

    command_report run(const ctl_command_line& line);

private:
    command_report get(const std::string& name);
    command_report put(const std::string& name, const std::string& file, std::int64_t revision, duration longest_wait);
    command_report grant(const std::string& organisation, std::string key_id, duration longest_wait);
    command_report withdraw(const std::string& organisation, const std::string& key_id, duration longest_wait);
    command_report explain(const std::string& request_id);

    /// Changes the organisations document; starts anew from the document in force after a conflict. The edit gives the
    /// new text, or fails with a report.
    using document_edit = std::function<std::optional<std::string>(const std::string& text, command_report& failure)>;
    command_report change_organisations(const document_edit& edit, duration longest_wait);

    void add_confirmations(command_report& report, std::int64_t revision, duration longest_wait);

    operators_api& m_api;
    std::function<void(duration)> m_wait;
};

} // namespace mulberry
