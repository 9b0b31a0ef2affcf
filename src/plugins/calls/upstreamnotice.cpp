#include "plugins/calls/upstreamnotice.h"

#include <charconv>
#include <cmath>
#include <string_view>
#include <system_error>

namespace mulberry {

namespace {

constexpr std::string_view leaving_value = "1";

std::string_view find_notice(const http_headers& headers, const std::string& name)
{
    return name.empty() ? std::string_view() : find_header(headers, name);
}

std::optional<double> parse_rate(std::string_view text)
{
    double rate = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, rate, std::chars_format::fixed);
    if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(rate) || rate < 0)
        return std::nullopt;
    return rate;
}

} // namespace

std::optional<upstream_notice> read_upstream_notice(const http_headers& headers, const field_names& names)
{
    upstream_notice notice;
    const std::string_view rate = find_notice(headers, names.rate_limit);
    if (!rate.empty()) {
        notice.rate_limit = parse_rate(rate);
        if (!notice.rate_limit)
            return std::nullopt;
    }
    notice.leaving = find_notice(headers, names.leaving) == leaving_value;
    return notice;
}

} // namespace mulberry
