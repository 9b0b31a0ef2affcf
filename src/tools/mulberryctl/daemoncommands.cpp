#include "tools/mulberryctl/daemoncommands.h"

#include "libs/base/asyncerror.h"
#include "libs/base/textfile.h"
#include "libs/documents/documentcheck.h"
#include "libs/documents/keyedits.h"
#include "plugins/keys/keyring.h"
#include "tools/mulberryctl/linediff.h"

#include <fmt/format.h>

namespace mulberry {

namespace {

using nlohmann::json;

/// A change reaches every connected node within 7 s, a withdrawal of a key within 3 s.
constexpr duration default_change_wait = std::chrono::seconds(7);
constexpr duration default_withdrawal_wait = std::chrono::seconds(3);
constexpr duration confirmation_poll_period = std::chrono::milliseconds(200);
constexpr int attempt_limit = 5;

template <typename Result>
command_report failure_report(leaf::result<Result> result)
{
    const api_failure failure = error_of(std::move(result), api_failure{});
    command_report report = message_report(failure.code, failure.message);
    if (failure.details.is_object() && failure.details.contains("errors")) {
        report.data["errors"] = failure.details["errors"];
        report.text += to_readable_text(failure.details["errors"]);
    }
    return report;
}

command_report invalid_report(const document_errors& errors)
{
    command_report report = message_report(exit_code::refused, "the document is invalid, nothing was written");
    report.text = to_string(errors) + report.text;
    report.data["errors"] = json::array();
    for (const document_error& error : errors.errors) {
        report.data["errors"].push_back(
            {{"file", error.file}, {"line", error.line}, {"key", error.key}, {"message", error.message}});
    }
    return report;
}

command_report conflict_report(const std::string& name, const write_outcome& outcome, const std::string& new_text)
{
    if (!outcome.current)
        return message_report(exit_code::conflict, fmt::format("{} does not exist, nothing was written", name));
    command_report report = message_report(
        exit_code::conflict, fmt::format("{} is at revision {}, nothing was written", name, outcome.revision));
    const std::string difference = line_difference(outcome.current->content, new_text);
    report.text += fmt::format("--- in force at revision {}\n+++ not written\n{}", outcome.revision, difference);
    report.data["revision"] = outcome.revision;
    report.data["content"] = outcome.current->content;
    report.data["difference"] = difference;
    return report;
}

std::string hex_text(std::span<const std::uint8_t> bytes)
{
    std::string text;
    for (const std::uint8_t byte : bytes)
        text += fmt::format("{:02x}", byte);
    return text;
}

/// Derives a key id from the key's salted hash. The id is unique for practical purposes and reveals nothing of the key.
std::string key_id_from(const key_entry& entry)
{
    constexpr std::size_t id_bytes = 6;
    return "k-" + hex_text(std::span(entry.hash).first(id_bytes));
}

/// Returns the salt that the document's keys already use, because a node computes one hash per distinct salt for every
/// request.
std::vector<std::uint8_t> salt_for(const organisations_document& document)
{
    for (const organisation& entry : document.organisations) {
        if (!entry.keys.empty())
            return entry.keys.front().salt;
    }
    return generate_salt();
}

command_report json_report(json body)
{
    command_report report;
    report.text = to_readable_text(body);
    report.data = std::move(body);
    return report;
}

} // namespace

command_report daemon_commands::run(const ctl_command_line& line)
{
    if (line.command == "get")
        return get(line.arguments[0]);
    if (line.command == "put")
        return put(line.arguments[0], line.arguments[1], *line.revision, line.wait.value_or(default_change_wait));
    if (line.command == "grant")
        return grant(line.arguments[0], line.key_id, line.wait.value_or(default_change_wait));
    if (line.command == "withdraw")
        return withdraw(line.arguments[0], line.arguments[1], line.wait.value_or(default_withdrawal_wait));
    if (line.command == "explain")
        return explain(line.arguments[0]);
    auto body = line.command == "drain" ? m_api.drain() : m_api.status();
    if (!body)
        return failure_report(std::move(body));
    return json_report(std::move(*body));
}

command_report daemon_commands::get(const std::string& name)
{
    auto found = m_api.read(name);
    if (!found)
        return failure_report(std::move(found));
    if (!*found)
        return message_report(exit_code::refused, fmt::format("{} does not exist", name));
    command_report report;
    report.text = (*found)->content;
    report.stderr_text = fmt::format("{} is at revision {}\n", name, (*found)->revision);
    report.data = {{"name", name}, {"revision", (*found)->revision}, {"content", (*found)->content}};
    return report;
}

command_report daemon_commands::put(const std::string& name, const std::string& file, std::int64_t revision,
                                    duration max_wait)
{
    const auto text = read_text_file(file);
    if (!text)
        return message_report(exit_code::usage, fmt::format("{}: cannot be read", file));
    const document_errors errors = check_document(name, *text, file);
    if (!errors.errors.empty())
        return invalid_report(errors);
    auto outcome = m_api.write(name, *text, revision);
    if (!outcome)
        return failure_report(std::move(outcome));
    if (!outcome->accepted)
        return conflict_report(name, *outcome, *text);
    command_report report =
        message_report(exit_code::ok, fmt::format("{} is accepted as revision {}", name, outcome->revision));
    add_confirmations(report, outcome->revision, max_wait);
    return report;
}

command_report daemon_commands::change_organisations(const document_edit& edit, duration max_wait)
{
    const std::string name(organisations_document_name);
    auto found = m_api.read(name);
    if (!found)
        return failure_report(std::move(found));
    std::optional<stored_document> base = std::move(*found);
    for (int attempt = 0; attempt < attempt_limit; ++attempt) {
        if (!base)
            return message_report(exit_code::refused, "there is no organisations document");
        const document_errors errors = check_document(name, base->content, name);
        if (!errors.errors.empty())
            return invalid_report(errors);
        command_report failure;
        const auto new_text = edit(base->content, failure);
        if (!new_text)
            return failure;
        auto outcome = m_api.write(name, *new_text, base->revision);
        if (!outcome)
            return failure_report(std::move(outcome));
        if (!outcome->accepted) {
            // A read could return an older document, since the daemon serves reads from its own view.
            base = std::move(outcome->current);
            continue;
        }
        command_report report =
            message_report(exit_code::ok, fmt::format("accepted as revision {}", outcome->revision));
        add_confirmations(report, outcome->revision, max_wait);
        return report;
    }
    return message_report(exit_code::conflict, "the organisations document changes too often, nothing was written");
}

command_report daemon_commands::grant(const std::string& organisation, std::string key_id, duration max_wait)
{
    std::string key = generate_key();
    const auto edit = [&](const std::string& text, command_report& failure) -> std::optional<std::string> {
        const auto document = parse_organisations_document(text, organisations_document_name);
        auto entry = make_key_entry(organisation, key_id, key, salt_for(*document));
        if (!entry) {
            failure = message_report(exit_code::refused, "the key could not be created");
            return std::nullopt;
        }
        if (key_id.empty())
            key_id = key_id_from(*entry);
        auto edited = add_key(text, organisation, {key_id, entry->salt, entry->hash});
        if (!edited) {
            failure = message_report(exit_code::refused, fmt::format("there is no organisation {}", organisation));
            return std::nullopt;
        }
        const document_errors errors = check_document(organisations_document_name, *edited, "changed document");
        if (!errors.errors.empty()) {
            failure = invalid_report(errors);
            return std::nullopt;
        }
        return edited;
    };
    command_report report = change_organisations(edit, max_wait);
    if (report.code == exit_code::ok) {
        report.text += fmt::format("Key {} of {}; it is not shown again:\n{}\n", key_id, organisation, key);
        report.data["organisation"] = organisation;
        report.data["key_id"] = key_id;
        report.data["key"] = key;
    }
    else if (report.code == exit_code::unreachable) {
        report.text += fmt::format("If the key {} appears in the document, withdraw it.\n", key_id);
        report.data["key_id"] = key_id;
    }
    wipe(key);
    return report;
}

command_report daemon_commands::withdraw(const std::string& organisation, const std::string& key_id, duration max_wait)
{
    const auto edit = [&](const std::string& text, command_report& failure) {
        auto edited = remove_key(text, organisation, key_id);
        if (!edited)
            failure = message_report(exit_code::refused, fmt::format("{} has no key {}", organisation, key_id));
        return edited;
    };
    return change_organisations(edit, max_wait);
}

command_report daemon_commands::explain(const std::string& request_id)
{
    auto body = m_api.explain(request_id);
    if (!body)
        return failure_report(std::move(body));
    return json_report(std::move(*body));
}

void daemon_commands::add_confirmations(command_report& report, std::int64_t revision, duration max_wait)
{
    report.data["revision"] = revision;
    auto missing = m_api.missing_confirmations(revision);
    for (duration waited{0}; missing && !missing->empty() && waited < max_wait; waited += confirmation_poll_period) {
        m_wait(confirmation_poll_period);
        missing = m_api.missing_confirmations(revision);
    }
    if (!missing) {
        const api_failure failure = error_of(std::move(missing), api_failure{});
        report.text += fmt::format("The confirmations are unknown: {}\n", failure.message);
        report.data["confirmations_unknown"] = failure.message;
        return;
    }
    report.data["missing"] = *missing;
    report.text += missing->empty() ? std::string("Every node has confirmed.\n")
                                    : fmt::format("Not confirmed by: {}\n", fmt::join(*missing, ", "));
}

} // namespace mulberry
