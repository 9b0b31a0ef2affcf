#include "app/sidecar/sidecarsettingsfile.h"

#include "libs/base/asyncerror.h"
#include "libs/documents/checks.h"
#include "libs/documents/endpointfield.h"
#include "libs/documents/tablereader.h"

namespace mulberry {

namespace {

using namespace std::chrono_literals;
using settings = sidecar_settings;
using detail::field;
using detail::field_table;
using detail::field_value;
using detail::value_kind;

constexpr std::size_t mebibyte = std::size_t{1} << 20U;

field<settings> listen_field(std::string key, network_endpoint settings::*member, std::string meaning)
{
    return detail::endpoint_field(std::move(key), "", member, std::move(meaning));
}

field<settings> address_field(std::string key, std::string settings::*member, std::string meaning)
{
    return {{std::move(key), value_kind::text, std::string(detail::endpoint_unit), false, "", std::move(meaning)},
            [member](settings& target, const field_value& value) {
                const auto& text = std::get<std::string>(value);
                if (!parse_endpoint(text))
                    return detail::endpoint_error(text);
                target.*member = text;
                return std::string();
            }};
}

/// Like duration_field, but also accepts fractions such as "1.5s".
field<settings> time_field(std::string key, duration settings::*member, duration min, duration max, std::string meaning)
{
    const std::string range = fmt::format("{} to {}", duration_text(min), duration_text(max));
    return {{std::move(key), value_kind::text, "time with unit (ms, s), " + range, false, "", std::move(meaning)},
            [=](settings& target, const field_value& value) {
                const auto& text = std::get<std::string>(value);
                const auto interval = parse_decimal_duration(text);
                if (!interval || *interval < min || *interval > max)
                    return fmt::format("must be a number with a time unit (ms, s) from {}, not \"{}\"", range, text);
                target.*member = *interval;
                return std::string();
            }};
}

field<settings> amount_field(std::string key, std::string unit, std::size_t scale, std::size_t settings::*member,
                             std::string meaning)
{
    return {{std::move(key), value_kind::integer, std::move(unit), false, "", std::move(meaning)},
            [=](settings& target, const field_value& value) {
                const auto number = std::get<std::int64_t>(value);
                constexpr std::int64_t max = 1'000'000;
                if (number < 1 || number > max)
                    return fmt::format("must be from 1 to {}, not {}", max, number);
                target.*member = static_cast<std::size_t>(number) * scale;
                return std::string();
            }};
}

field<settings> domain_field(std::string key, std::string node_location::*member, std::string meaning)
{
    return {{std::move(key), value_kind::text, "name", true, "", std::move(meaning)},
            [member](settings& target, const field_value& value) {
                target.location.*member = std::get<std::string>(value);
                return (target.location.*member).empty() ? std::string("must not be empty") : std::string();
            }};
}

void add_identity_fields(field_table<settings>& fields)
{
    fields.push_back(required(detail::text_field("node_name", "name", "", &settings::node_name, detail::check_any_text,
                                                 "Name of the node, unique in the fleet.")));
    fields.push_back(domain_field("failure_domain", &node_location::failure_domain, "Failure domain of the node."));
    fields.push_back(domain_field("region", &node_location::region, "Region of the node."));
    fields.push_back(required(detail::text_field("service", "name", "", &settings::service, detail::check_any_text,
                                                 "Service of the upstream beside the daemon.")));
    fields.push_back(required(
        address_field("upstream", &settings::upstream_address, "Address at which the upstream accepts requests.")));
}

void add_network_fields(field_table<settings>& fields)
{
    fields.push_back(required(listen_field("callers_listen", &settings::callers,
                                           "Address for requests of callers and nested calls of the upstream.")));
    fields.push_back(
        required(listen_field("peers_listen", &settings::peers, "Address for connections of other daemons.")));
    fields.push_back(required(
        listen_field("readiness_listen", &settings::readiness, "Address for readiness probes of the platform.")));
    fields.push_back(required(
        listen_field("announcements_listen", &settings::announcements, "Address for announcements of the upstream.")));
    fields.push_back(listen_field("metrics_listen", &settings::metrics,
                                  "Address at which metrics are served; if absent, no metrics are served."));
    fields.push_back(required(address_field("store", &settings::store_address, "Address of the platform's store.")));
    fields.push_back(
        time_field("shortest_lease", &settings::min_lease, 100ms, 10min, "Shortest lease that the store grants."));
}

void add_limit_fields(field_table<settings>& fields)
{
    fields.push_back(amount_field("memory_limit_mb", "MB, 1 to 1000000", mebibyte, &settings::memory_limit_bytes,
                                  "Memory that the daemon may use."));
    fields.push_back(amount_field("descriptor_limit", "descriptors, 1 to 1000000", 1, &settings::descriptor_limit,
                                  "File descriptors that the daemon may use."));
    fields.push_back(
        time_field("withdrawal_limit", &settings::withdrawal_limit, 500ms, 24h,
                   "Maximum time for which a withdrawn key is still accepted, even while the store is unavailable."));
    fields.push_back(time_field("drain_limit", &settings::drain_limit, 100ms, 1h,
                                "Maximum time for which a leaving upstream still receives new work."));
    fields.push_back(time_field("stop_limit", &settings::stop_limit, 1s, 1h, "Maximum duration of a planned stop."));
    fields.push_back(detail::number_field(
        "retry_ratio", "repetitions per request", &settings::retry_ratio, 0, 10,
        "Bound of the retries that reach a service from all nodes, in proportion to its requests."));
    fields.push_back(detail::number_field("retry_slack", "repetitions", &settings::retry_slack, 0, 1e6,
                                          "Additional retries that are allowed in each `retry_window`."));
    fields.push_back(time_field("retry_window", &settings::retry_window, 100ms, 1h,
                                "Time window to which the bound of retries applies."));
}

const field_table<settings>& settings_fields()
{
    static const field_table<settings> fields = [] {
        field_table<settings> table;
        add_identity_fields(table);
        add_network_fields(table);
        add_limit_fields(table);
        return table;
    }();
    return fields;
}

} // namespace

boost::leaf::result<sidecar_settings> parse_sidecar_settings(std::string_view text, std::string_view file)
{
    std::vector<document_error> errors;
    const auto table = detail::parse_toml(text, file, errors);
    if (!table)
        return captured_error<sidecar_settings>(document_errors{std::move(errors)});
    detail::table_reader reader(*table, std::string(file), "", errors);
    sidecar_settings parsed;
    reader.read(parsed, settings_fields(), {});
    if (!errors.empty())
        return captured_error<sidecar_settings>(detail::sort_by_line(std::move(errors)));
    return parsed;
}

std::string sidecar_settings_reference()
{
    return detail::reference_table(detail::field_infos(settings_fields()));
}

} // namespace mulberry
