#include "libs/json/jsonfields.h"

#include <limits>

namespace mulberry {

using nlohmann::json;

namespace {

/// Whether arrays and objects are nested too deeply. Brackets within strings do not count.
bool exceeds_max_depth(std::string_view text)
{
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (in_string) {
            if (c == '\\')
                ++i;
            in_string = c != '"';
            continue;
        }
        if (c == '"') {
            in_string = true;
        }
        else if (c == '[' || c == '{') {
            if (++depth > max_json_depth)
                return true;
        }
        else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

const json* member_of(const json& object, const char* name)
{
    if (!object.is_object())
        return nullptr;
    const auto it = object.find(name);
    return it == object.end() ? nullptr : &*it;
}

} // namespace

json parse_json(std::string_view text)
{
    if (exceeds_max_depth(text))
        return json(json::value_t::discarded);
    return json::parse(text, nullptr, false);
}

std::optional<std::string> text_of(const json& object, const char* name)
{
    const json* member = member_of(object, name);
    if (member == nullptr || !member->is_string())
        return std::nullopt;
    return member->get<std::string>();
}

std::optional<std::int64_t> integer_of(const json& object, const char* name)
{
    const json* member = member_of(object, name);
    if (member == nullptr || !member->is_number_integer())
        return std::nullopt;
    constexpr auto max_value = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (member->is_number_unsigned() && member->get<std::uint64_t>() > max_value)
        return std::nullopt;
    return member->get<std::int64_t>();
}

std::optional<std::uint64_t> unsigned_of(const json& object, const char* name)
{
    const json* member = member_of(object, name);
    if (member == nullptr || !member->is_number_unsigned())
        return std::nullopt;
    return member->get<std::uint64_t>();
}

std::optional<double> number_of(const json& object, const char* name)
{
    const json* member = member_of(object, name);
    if (member == nullptr || !member->is_number())
        return std::nullopt;
    return member->get<double>();
}

std::optional<bool> flag_of(const json& object, const char* name)
{
    const json* member = member_of(object, name);
    if (member == nullptr || !member->is_boolean())
        return std::nullopt;
    return member->get<bool>();
}

const json* object_of(const json& object, const char* name)
{
    const json* member = member_of(object, name);
    return member != nullptr && member->is_object() ? member : nullptr;
}

const json* list_of(const json& object, const char* name)
{
    const json* member = member_of(object, name);
    return member != nullptr && member->is_array() ? member : nullptr;
}

} // namespace mulberry
