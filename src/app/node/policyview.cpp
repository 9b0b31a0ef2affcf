#include "app/node/policyview.h"

#include "libs/base/asyncerror.h"
#include "libs/base/log.h"

#include <algorithm>
#include <utility>

namespace mulberry {

namespace {

/// Returns the part of a store key after the prefix of all documents.
std::string_view document_name(std::string_view key)
{
    return key.substr(documents_prefix.size());
}

/// Splits "/service/rest?query" into the service and "/rest?query".
std::pair<std::string, std::string> split_path(std::string_view path)
{
    path.remove_prefix(1);
    const std::size_t end = std::min(path.find_first_of("/?"), path.size());
    std::string rest(path.substr(end));
    if (!rest.starts_with('/'))
        rest.insert(rest.begin(), '/');
    return {std::string(path.substr(0, end)), std::move(rest)};
}

std::vector<key_entry> collect_keys(const organisations_document& document)
{
    std::vector<key_entry> keys;
    for (const organisation& owner : document.organisations) {
        for (const organisation_key& key : owner.keys)
            keys.push_back({owner.name, key.id, key.salt, key.hash});
    }
    return keys;
}

} // namespace

policy_view::policy_view(config_view& view) : m_view(view)
{
    m_view.add_listener(*this);
}

policy_view::~policy_view()
{
    m_view.remove_listener(*this);
}

void policy_view::on_service_changed(std::function<void(const service_document&)> callback)
{
    m_service_changed = std::move(callback);
}

void policy_view::on_organisations_changed(std::function<void(const organisations_document&)> callback)
{
    m_organisations_changed = std::move(callback);
}

std::variant<matched_route, refusal> policy_view::match(std::string_view method, std::string_view path,
                                                        std::string_view /*host*/) const
{
    if (!path.starts_with('/'))
        return not_run_refusal(refusal_reason::malformed_request);
    auto [service, rest] = split_path(path);
    const auto document = m_services.find(service);
    if (document == m_services.end())
        return not_run_refusal(refusal_reason::route_unknown);
    const route* rules = document->second.match(method, rest);
    if (rules == nullptr)
        return not_run_refusal(refusal_reason::route_unknown);
    const std::uint32_t attempts = std::max(document->second.total_attempts, 1U);
    return matched_route{std::move(service), std::move(rest), *rules, document->second.body_cap_bytes,
                         attempts,           attempts};
}

std::optional<std::string> policy_view::organisation_of(std::string_view key) const
{
    return m_keys.organisation_of(key);
}

bool policy_view::authorises(std::string_view key, std::string_view organisation) const
{
    return m_keys.authorises(key, organisation);
}

bool policy_view::keyed_requests_allowed() const
{
    return m_relay != nullptr && m_relay->keyed_requests_allowed();
}

void policy_view::on_document_changed(const config_document& document)
{
    if (!document.key.starts_with(documents_prefix))
        return;
    if (document.key == organisations_document_key)
        return apply_organisations(document);
    apply_service(document);
}

void policy_view::apply_service(const config_document& document)
{
    const std::string name(document_name(document.key));
    if (document.deleted) {
        m_services.erase(name);
        log_info("policy", "Service {} was removed at revision {}.", name, document.revision);
        return;
    }
    auto parsed = parse_service_document(document.content, document.key);
    if (!parsed || parsed->service != name) {
        log_error("policy", "Ignoring the invalid document {} at revision {}.", document.key, document.revision);
        return;
    }
    const auto it = m_services.insert_or_assign(name, std::move(*parsed)).first;
    log_info("policy", "Service {} is in force at revision {}.", name, document.revision);
    if (m_service_changed)
        m_service_changed(it->second);
}

void policy_view::apply_organisations(const config_document& document)
{
    organisations_document organisations;
    if (!document.deleted) {
        auto parsed = parse_organisations_document(document.content, document.key);
        if (!parsed) {
            log_error("policy", "Ignoring the invalid organisations document at revision {}.", document.revision);
            return;
        }
        organisations = std::move(*parsed);
    }
    // Unusable keys are left out and all others are applied, so that a faulty entry never delays a withdrawal.
    if (auto replaced = m_keys.replace(collect_keys(organisations)); !replaced) {
        log_error("policy", "Some keys of the organisations document at revision {} cannot be used: {}.",
                  document.revision, to_string(error_of(std::move(replaced), key_error::library_failure)));
    }
    log_info("policy", "{} organisations and {} keys are in force at revision {}.", organisations.organisations.size(),
             m_keys.size(), document.revision);
    if (m_organisations_changed)
        m_organisations_changed(organisations);
}

std::optional<std::string> document_key_of(std::string_view content)
{
    if (const auto service = parse_service_document(content, {}))
        return service_document_key(service->service);
    if (parse_organisations_document(content, {}))
        return std::string(organisations_document_key);
    return std::nullopt;
}

std::optional<std::string> parsing_validator::problem(std::string_view key, std::string_view content) const
{
    if (key == organisations_document_key) {
        auto parsed = parse_organisations_document(content, key);
        if (parsed)
            return std::nullopt;
        return to_string(error_of(std::move(parsed), document_errors{}));
    }
    auto parsed = parse_service_document(content, key);
    if (!parsed)
        return to_string(error_of(std::move(parsed), document_errors{}));
    if (parsed->service != document_name(key))
        return "The document describes service \"" + parsed->service + "\", but its key belongs to another service.";
    return std::nullopt;
}

} // namespace mulberry
