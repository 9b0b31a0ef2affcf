#include "plugins/registry/registryentry.h"

#include "libs/documents/endpoints.h"
#include "libs/json/jsonfields.h"

#include <cstdint>
#include <limits>

#include <boost/asio/ip/address.hpp>

namespace mulberry {

namespace {

/// Value of a member that is an unsigned integer and fits into 32 bits.
std::optional<std::uint32_t> small_unsigned_of(const nlohmann::json& object, const char* name)
{
    const auto value = unsigned_of(object, name);
    if (!value || *value > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    return static_cast<std::uint32_t>(*value);
}

/// Whether nodes can connect to an address: "IP:PORT" with a port above 0.
bool is_connectable(std::string_view address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint || endpoint->port == 0)
        return false;
    boost::system::error_code error;
    boost::asio::ip::make_address(endpoint->address, error);
    return !error;
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
    const nlohmann::json object = parse_json(value);
    const auto incarnation = unsigned_of(object, "incarnation");
    auto service = text_of(object, "service");
    auto address = text_of(object, "address");
    auto domain = text_of(object, "domain");
    auto region = text_of(object, "region");
    const auto state = small_unsigned_of(object, "state");
    if (!incarnation || !service || !address || !domain || !region || !state)
        return std::nullopt;
    if (!is_connectable(*address) || *state < static_cast<unsigned>(member_state::starting) ||
        *state > static_cast<unsigned>(member_state::dead))
        return std::nullopt;
    member node;
    node.id = {std::string(name), *incarnation};
    node.service = std::move(*service);
    node.address = std::move(*address);
    node.location = {std::move(*domain), std::move(*region)};
    node.state = static_cast<member_state>(*state);
    node.instance = text_of(object, "instance").value_or(std::string());
    node.slots = small_unsigned_of(object, "slots").value_or(0);
    node.instance_started_ms = integer_of(object, "born").value_or(0);
    node.upstream_leaving = small_unsigned_of(object, "upstream_leaving").value_or(0) != 0;
    node.sequence = unsigned_of(object, "sequence").value_or(0);
    return node;
}

} // namespace mulberry
