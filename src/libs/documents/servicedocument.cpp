#include "libs/documents/servicedocument.h"

#include "libs/base/asyncerror.h"
#include "libs/documents/checks.h"
#include "libs/documents/documentreference.h"
#include "libs/documents/pathpattern.h"
#include "libs/documents/tablereader.h"

#include <algorithm>
#include <array>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view routes_key = "routes";
constexpr std::array nested_keys{routes_key};
/// The check for unreachable routes compares all pairs of routes, so their number is limited.
constexpr std::size_t max_routes = 1000;

std::string set_importance(route& target, const detail::field_value& value)
{
    const auto& text = std::get<std::string>(value);
    const auto level = importance_from_string(text);
    if (!level)
        return fmt::format("must be background, normal, high or critical, not \"{}\"", text);
    target.level = *level;
    return {};
}

const detail::field_table<service_document>& service_fields()
{
    using document = service_document;
    static const detail::field_table<document> fields{
        required(detail::text_field("service", "name", "", &document::service, detail::check_service_name,
                                    "Name of the service, the first segment of its callers' paths.")),
        required(detail::integer_field("slots", "requests", "", &document::slots, 1, 100'000,
                                       "Number of requests that one upstream runs concurrently.")),
        required(detail::integer_field("queue_limit", "requests", "", &document::queue_limit, 0, 100'000,
                                       "Maximum number of requests that wait at one upstream.")),
        detail::integer_field(
            "total_attempts", "attempts", "3", &document::total_attempts, 1, 1'000,
            "Maximum number of attempts in a request tree that starts at this service, including the first one."),
        detail::size_field("body_cap", "1MiB", &document::body_cap_bytes, 0, 64ULL * 1024 * 1024,
                           "Maximum size of a request body and of a response body."),
    };
    return fields;
}

const detail::field_table<route>& route_fields()
{
    static const detail::field_table<route> fields{
        required(detail::text_field("name", "name", "", &route::name, detail::check_name,
                                    "Name of the route in metrics and accounts, unique in the document.")),
        required(detail::text_field("method", "HTTP method", "", &route::method, detail::check_method,
                                    "Method of the requests.")),
        required(
            detail::text_field("path", "path pattern", "", &route::pattern, detail::check_pattern,
                               "Path after the service's name; `*` stands for one segment, a trailing `**` for any "
                               "number of segments. The first matching route applies.")),
        {{"importance", detail::value_kind::text, "background, normal, high or critical", false, "normal",
          "Less important requests are shed first."},
         set_importance},
        detail::flag_field("open", false, &route::open, "Requests need no key."),
        detail::list_field("organisations", "name", &route::organisations, detail::check_name,
                           "Organisations that may call the route; all that have a key if the list is empty."),
        detail::list_field("calling_services", "name", &route::calling_services, detail::check_service_name,
                           "Services that may call the route as a nested call; all if the list is empty."),
        detail::flag_field("idempotent", false, &route::idempotent,
                           "Running a request twice has the same effect as running it once."),
        required(detail::duration_field("deadline", "", &route::deadline, 1ms, 1h,
                                        "Maximum time from the arrival of a request at the entry to its response.")),
    };
    return fields;
}

/// Returns whether the list, in which no entry means no restriction, allows the name.
bool is_allowed(const std::vector<std::string>& list, std::string_view name)
{
    return list.empty() || std::ranges::find(list, name) != list.end();
}

/// Reports an error if an earlier route, which takes precedence, has the same name or matches every path of this route.
void check_against_earlier(const std::vector<route>& routes, std::size_t position, detail::table_reader& reader)
{
    const route& later = routes[position];
    for (std::size_t i = 0; i < position; ++i) {
        const route& earlier = routes[i];
        if (!later.name.empty() && earlier.name == later.name)
            reader.report("name", fmt::format("\"{}\" is already used by routes[{}]", later.name, i));
        const bool comparable = detail::pattern_error(earlier.pattern).empty() &&
                                detail::pattern_error(later.pattern).empty() && earlier.method == later.method;
        if (comparable && detail::covers(earlier.pattern, later.pattern)) {
            reader.report("path", fmt::format("\"{}\" is never reached, because routes[{}] with \"{}\" matches first",
                                              later.pattern, i, earlier.pattern));
        }
    }
}

std::vector<route> read_routes(detail::table_reader& reader)
{
    std::vector<route> routes;
    std::vector<detail::table_reader> tables = reader.sub_tables(routes_key);
    if (tables.size() > max_routes) {
        reader.report(routes_key, fmt::format("has {} routes; the maximum is {}", tables.size(), max_routes));
        return routes;
    }
    for (detail::table_reader& table : tables) {
        route read;
        table.read(read, route_fields(), {});
        if (read.open && !read.organisations.empty())
            table.report("organisations", "must be empty for an open route");
        routes.push_back(std::move(read));
        check_against_earlier(routes, routes.size() - 1, table);
    }
    return routes;
}

} // namespace

bool route::allows_organisation(std::string_view organisation) const
{
    return is_allowed(organisations, organisation);
}

bool route::allows_calling_service(std::string_view service) const
{
    return is_allowed(calling_services, service);
}

const route* service_document::match(std::string_view method, std::string_view path) const
{
    const auto segments = detail::path_segments(path);
    if (!segments)
        return nullptr;
    const auto found = std::ranges::find_if(routes, [&](const route& candidate) {
        return candidate.method == method && detail::matches(candidate.pattern, *segments);
    });
    return found == routes.end() ? nullptr : &*found;
}

leaf::result<service_document> parse_service_document(std::string_view text, std::string_view file)
{
    std::vector<document_error> errors;
    service_document document;
    if (const auto table = detail::parse_toml(text, file, errors)) {
        detail::table_reader reader(*table, std::string(file), "", errors);
        reader.read(document, service_fields(), nested_keys);
        document.routes = read_routes(reader);
    }
    if (!errors.empty())
        return captured_error<service_document>(detail::sort_by_line(std::move(errors)));
    return document;
}

std::string service_document_reference()
{
    return detail::reference_table(detail::field_infos(service_fields())) +
           "\nEach route is a table `[[routes]]`:\n\n" + detail::reference_table(detail::field_infos(route_fields()));
}

} // namespace mulberry
