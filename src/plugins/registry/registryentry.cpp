#include "plugins/registry/registryentry.h"

#include <nlohmann/json.hpp>

namespace mulberry {

namespace {

/// Value of a field; empty if the field is missing or has another type.
template <typename Value>
std::optional<Value> field(const nlohmann::json& object, const char* name)
{
    const auto it = object.find(name);
    if (it == object.end())
        return std::nullopt;
    if constexpr (std::is_same_v<Value, std::string>) {
        if (!it->is_string())
            return std::nullopt;
    }
    else {
        if (!it->is_number_integer() || (std::is_unsigned_v<Value> && !it->is_number_unsigned()))
            return std::nullopt;
    }
    return it->get<Value>();
}

} // namespace

std::string encode_registry_entry(const member& node)
{
    return nlohmann::json{{"incarnation", node.id.incarnation},
                          {"service", node.service},
                          {"address", node.address},
                          {"domain", node.location.failure_domain},
                          {"region", node.location.region},
                          {"state", static_cast<unsigned>(node.state)},
                          {"instance", node.instance},
                          {"slots", node.slots},
                          {"born", node.instance_started_ms},
                          {"upstream_leaving", node.upstream_leaving ? 1 : 0},
                          {"sequence", node.sequence}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<member> decode_registry_entry(std::string_view name, std::string_view value)
{
    const auto object = nlohmann::json::parse(value, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    const auto incarnation = field<std::uint64_t>(object, "incarnation");
    auto service = field<std::string>(object, "service");
    auto address = field<std::string>(object, "address");
    auto domain = field<std::string>(object, "domain");
    auto region = field<std::string>(object, "region");
    const auto state = field<unsigned>(object, "state");
    if (!incarnation || !service || !address || !domain || !region || !state ||
        *state < static_cast<unsigned>(member_state::starting) || *state > static_cast<unsigned>(member_state::dead))
        return std::nullopt;
    member node;
    node.id = {std::string(name), *incarnation};
    node.service = std::move(*service);
    node.address = std::move(*address);
    node.location = {std::move(*domain), std::move(*region)};
    node.state = static_cast<member_state>(*state);
    node.instance = field<std::string>(object, "instance").value_or(std::string());
    node.slots = field<unsigned>(object, "slots").value_or(0);
    node.instance_started_ms = field<std::int64_t>(object, "born").value_or(0);
    node.upstream_leaving = field<unsigned>(object, "upstream_leaving").value_or(0) != 0;
    node.sequence = field<std::uint64_t>(object, "sequence").value_or(0);
    return node;
}

} // namespace mulberry
