#pragma once

#include "libs/documents/organisationsdocument.h"
#include "plugins/configuration/configrelay.h"
#include "plugins/configuration/configview.h"
#include "plugins/configuration/configwriter.h"
#include "plugins/entry/policy.h"
#include "plugins/keys/keyring.h"

#include <functional>
#include <map>
#include <memory>

namespace mulberry {

/// Implements the request policy (routes, keys and limits) from the documents of the configuration view. If a changed
/// document cannot be parsed, the previous version stays in force.
class policy_view final : public policy, public config_listener {
public:
    explicit policy_view(config_view& view);
    ~policy_view() override;

    /// Must be called before the first request. The relay provides the age of the view.
    void set_relay(const config_relay& relay) { m_relay = &relay; }
    /// Sets the callback that is called after the document of a service has changed.
    void on_service_changed(std::function<void(const service_document&)> callback);
    /// Sets the callback that is called after the organisations document has changed.
    void on_organisations_changed(std::function<void(const organisations_document&)> callback);

    std::variant<matched_route, refusal> match(std::string_view method, std::string_view path,
                                               std::string_view host) const override;
    bool has_service(std::string_view service) const override { return m_services.contains(service); }
    std::optional<std::string> organisation_of(std::string_view key) const override;
    bool authorises(std::string_view key, std::string_view organisation) const override;
    bool keyed_requests_allowed() const override;
    std::int64_t revision() const override { return m_view.newest_revision(); }

    void on_document_changed(const config_document& document) override;

private:
    void apply_service(const config_document& document);
    void apply_organisations(const config_document& document);

    config_view& m_view;
    const config_relay* m_relay = nullptr;
    std::map<std::string, service_document, std::less<>> m_services;
    key_ring m_keys;
    std::function<void(const service_document&)> m_service_changed;
    std::function<void(const organisations_document&)> m_organisations_changed;
};

/// Returns the store key that belongs to the content of a document; empty if the content is neither a valid service
/// document nor a valid organisations document.
std::optional<std::string> document_key_of(std::string_view content);

/// Validates operators' documents with the same parsers that the nodes use to apply them.
class parsing_validator final : public document_validator {
public:
    std::optional<std::string> problem(std::string_view key, std::string_view content) const override;
};

} // namespace mulberry
