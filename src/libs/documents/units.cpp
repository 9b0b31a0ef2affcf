#include "libs/documents/units.h"

#include <array>
#include <charconv>
#include <limits>
#include <span>

#include <fmt/format.h>

namespace mulberry {

namespace {

struct unit {
    std::string_view name;
    std::uint64_t factor;
};

/// The factors convert to microseconds and to bytes. Units are ordered from the largest to the smallest, so that texts
/// use the largest unit that gives a whole number.
constexpr std::array duration_units{unit{"h", 3'600'000'000}, unit{"min", 60'000'000}, unit{"s", 1'000'000},
                                    unit{"ms", 1'000}, unit{"us", 1}};
constexpr std::array size_units{unit{"MiB", 1'048'576}, unit{"KiB", 1024}, unit{"B", 1}};

std::optional<std::uint64_t> parse_quantity(std::string_view text, std::span<const unit> units)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{})
        return std::nullopt;
    const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    constexpr auto max_amount = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    for (const unit& candidate : units) {
        if (suffix == candidate.name)
            return number <= max_amount / candidate.factor ? std::optional(number * candidate.factor) : std::nullopt;
    }
    return std::nullopt;
}

std::string quantity_text(std::uint64_t amount, std::span<const unit> units)
{
    for (const unit& candidate : units) {
        if (amount != 0 && amount % candidate.factor == 0)
            return fmt::format("{}{}", amount / candidate.factor, candidate.name);
    }
    return fmt::format("0{}", units.back().name);
}

} // namespace

std::optional<duration> parse_duration(std::string_view text)
{
    const auto amount = parse_quantity(text, duration_units);
    if (!amount)
        return std::nullopt;
    return duration(static_cast<duration::rep>(*amount));
}

std::optional<duration> parse_decimal_duration(std::string_view text)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    if (error != std::errc{} || !(number >= 0))
        return std::nullopt;
    constexpr double max_seconds = 1e9;
    const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    const double seconds = suffix == "ms" ? number / 1000 : number;
    if ((suffix != "ms" && suffix != "s") || seconds > max_seconds)
        return std::nullopt;
    return std::chrono::round<std::chrono::milliseconds>(std::chrono::duration<double>(seconds));
}

std::string duration_text(duration interval)
{
    return quantity_text(static_cast<std::uint64_t>(interval.count()), duration_units);
}

std::optional<std::uint64_t> parse_size(std::string_view text)
{
    return parse_quantity(text, size_units);
}

std::string size_text(std::uint64_t bytes)
{
    return quantity_text(bytes, size_units);
}

} // namespace mulberry
