#pragma once

#include "libs/documents/endpoints.h"
#include "libs/documents/fieldtable.h"

#include <utility>

namespace mulberry::detail {

inline constexpr std::string_view endpoint_unit = "address:port";

/// Returns the error message for a text that is not an endpoint.
inline std::string endpoint_error(std::string_view text)
{
    return fmt::format("must have the form {}, not \"{}\"", endpoint_unit, text);
}

/// Returns a field whose value is an address with a port.
template <typename Target>
field<Target> endpoint_field(std::string key, std::string default_text, network_endpoint Target::*member,
                             std::string meaning)
{
    return {{std::move(key), value_kind::text, std::string(endpoint_unit), false, std::move(default_text),
             std::move(meaning)},
            [member](Target& target, const field_value& value) {
                const auto& text = std::get<std::string>(value);
                const auto endpoint = parse_endpoint(text);
                if (!endpoint)
                    return endpoint_error(text);
                target.*member = *endpoint;
                return std::string();
            }};
}

} // namespace mulberry::detail
