#include "plugins/quota/quotamessages.h"

#include "plugins/quota/messages.pb.h"

#include <climits>
#include <utility>

namespace mulberry {

namespace {

quota::proto::quota_message make_message(quota_message_kind kind, std::uint64_t sequence,
                                         const std::vector<quota_amount>& amounts)
{
    quota::proto::quota_message message;
    message.set_kind(static_cast<std::uint32_t>(kind));
    message.set_sequence(sequence);
    for (const quota_amount& amount : amounts) {
        auto* added = message.add_amounts();
        added->set_organisation(amount.organisation);
        added->set_tokens(amount.tokens);
        if (amount.level)
            added->set_level(*amount.level);
    }
    message.set_amount_count(static_cast<std::uint32_t>(amounts.size()) + 1);
    return message;
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

std::optional<quota::proto::quota_message> parse(std::string_view payload, quota_message_kind kind)
{
    auto message = parse(payload);
    if (!message || message->kind() != static_cast<std::uint32_t>(kind))
        return std::nullopt;
    return message;
}

std::vector<quota_amount> amounts_of(const quota::proto::quota_message& message)
{
    std::vector<quota_amount> amounts;
    for (const auto& amount : message.amounts()) {
        const auto level = amount.has_level() ? std::optional(amount.level()) : std::nullopt;
        amounts.push_back({amount.organisation(), amount.tokens(), level});
    }
    return amounts;
}

} // namespace

std::string encode(const quota_report& report)
{
    auto message = make_message(quota_message_kind::report, report.sequence, report.requested_amounts);
    message.set_unanswered_ms(static_cast<std::uint32_t>(to_milliseconds(report.unanswered_for)));
    return message.SerializeAsString();
}

std::string encode(const quota_grant& grant)
{
    return make_message(quota_message_kind::grant, grant.sequence, grant.granted_amounts).SerializeAsString();
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
    const auto message = parse(payload, quota_message_kind::report);
    if (!message)
        return std::nullopt;
    return quota_report{message->sequence(), amounts_of(*message), std::chrono::milliseconds(message->unanswered_ms())};
}

std::optional<quota_grant> decode_quota_grant(std::string_view payload)
{
    const auto message = parse(payload, quota_message_kind::grant);
    if (!message)
        return std::nullopt;
    return quota_grant{message->sequence(), amounts_of(*message)};
}

} // namespace mulberry
