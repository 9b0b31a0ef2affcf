#include "plugins/quota/quotamessages.h"

#include "plugins/quota/messages.pb.h"

#include <climits>
#include <utility>

namespace mulberry {

namespace {

std::string encode(quota_message_kind kind, std::uint64_t sequence, const std::vector<quota_amount>& amounts)
{
    quota::proto::quota_message message;
    message.set_kind(static_cast<std::uint32_t>(kind));
    message.set_sequence(sequence);
    for (const quota_amount& amount : amounts) {
        auto* added = message.add_amounts();
        added->set_organisation(amount.organisation);
        added->set_tokens(amount.tokens);
    }
    message.set_amount_count(static_cast<std::uint32_t>(amounts.size()) + 1);
    return message.SerializeAsString();
}

std::optional<quota::proto::quota_message> parse(std::string_view payload)
{
    quota::proto::quota_message message;
    if (payload.size() > INT_MAX || !message.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return std::nullopt;
    if (message.amount_count() != static_cast<std::uint32_t>(message.amounts_size()) + 1)
        return std::nullopt;
    return message;
}

template <typename Message>
std::optional<Message> decode(std::string_view payload, quota_message_kind kind)
{
    auto message = parse(payload);
    if (!message || message->kind() != static_cast<std::uint32_t>(kind))
        return std::nullopt;
    std::vector<quota_amount> amounts;
    for (auto& amount : *message->mutable_amounts())
        amounts.push_back({std::move(*amount.mutable_organisation()), amount.tokens()});
    return Message{message->sequence(), std::move(amounts)};
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
    const auto kind = static_cast<quota_message_kind>(message->kind());
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
