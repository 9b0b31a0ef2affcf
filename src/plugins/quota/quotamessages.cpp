#include "plugins/quota/quotamessages.h"

#include <nlohmann/json.hpp>

namespace mulberry {

namespace {

using nlohmann::json;

// A message is the CBOR array [kind, sequence, [[organisation, tokens], ...]].
constexpr std::size_t field_count = 3;

std::string encode(quota_message_kind kind, std::uint64_t sequence, const std::vector<quota_amount>& amounts)
{
    json list = json::array();
    for (const quota_amount& amount : amounts)
        list.push_back(json::array({amount.organisation, amount.tokens}));
    const json message = json::array({static_cast<unsigned>(kind), sequence, std::move(list)});
    std::string bytes;
    json::to_cbor(message, bytes);
    return bytes;
}

std::optional<json> parse(std::string_view payload)
{
    json message = json::from_cbor(payload.begin(), payload.end(), true, false);
    if (!message.is_array() || message.size() != field_count || !message[0].is_number_unsigned() ||
        !message[1].is_number_unsigned() || !message[2].is_array())
        return std::nullopt;
    return message;
}

std::optional<std::vector<quota_amount>> parse_amounts(const json& list)
{
    std::vector<quota_amount> amounts;
    for (const json& row : list) {
        if (!row.is_array() || row.size() != 2 || !row[0].is_string() || !row[1].is_number_unsigned())
            return std::nullopt;
        amounts.push_back({row[0].get<std::string>(), row[1].get<std::uint32_t>()});
    }
    return amounts;
}

template <typename Message>
std::optional<Message> decode(std::string_view payload, quota_message_kind kind)
{
    const auto message = parse(payload);
    if (!message || (*message)[0] != static_cast<unsigned>(kind))
        return std::nullopt;
    auto amounts = parse_amounts((*message)[2]);
    if (!amounts)
        return std::nullopt;
    return Message{(*message)[1].get<std::uint64_t>(), std::move(*amounts)};
}

} // namespace

std::string encode(const quota_report& report)
{
    return encode(quota_message_kind::report, report.sequence, report.requested_amounts);
}

std::string encode(const quota_grant& grant)
{
    return encode(quota_message_kind::grant, grant.sequence, grant.granted_amounts);
}

std::optional<quota_message_kind> kind_of(std::string_view payload)
{
    const auto message = parse(payload);
    if (!message)
        return std::nullopt;
    const auto kind = static_cast<quota_message_kind>((*message)[0].get<unsigned>());
    if (kind != quota_message_kind::report && kind != quota_message_kind::grant)
        return std::nullopt;
    return kind;
}

std::optional<quota_report> decode_quota_report(std::string_view payload)
{
    return decode<quota_report>(payload, quota_message_kind::report);
}

std::optional<quota_grant> decode_quota_grant(std::string_view payload)
{
    return decode<quota_grant>(payload, quota_message_kind::grant);
}

} // namespace mulberry
