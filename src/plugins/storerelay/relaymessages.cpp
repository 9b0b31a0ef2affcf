#include "plugins/storerelay/relaymessages.h"

#include "plugins/storerelay/messages.pb.h"

#include <climits>
#include <utility>

namespace mulberry {

namespace {

// No node sends longer intervals.
constexpr duration max_interval = std::chrono::hours(24);

bool is_interval(std::int64_t microseconds)
{
    return microseconds >= 0 && microseconds <= max_interval.count();
}

bool is_status(std::uint32_t number)
{
    return number >= static_cast<std::uint32_t>(relay_status::complete) &&
           number <= static_cast<std::uint32_t>(relay_status::not_followed);
}

template <typename Message>
bool parse(Message& message, std::string_view payload)
{
    return payload.size() <= INT_MAX && message.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
}

} // namespace

std::string encode(const relay_poll& poll)
{
    storerelay::proto::relay_poll message;
    message.set_prefix(poll.prefix);
    message.set_after_revision(poll.after_revision);
    message.set_wait_us(poll.wait.count());
    return message.SerializeAsString();
}

std::string encode(const relay_page& page)
{
    storerelay::proto::relay_page message;
    message.set_status(static_cast<std::uint32_t>(page.status));
    message.set_revision(page.revision);
    message.set_receiving(page.receiving);
    message.set_age_us(page.age.count());
    message.set_held_us(page.held.count());
    for (const watch_event& event : page.events) {
        auto* added = message.add_events();
        added->set_key(event.entry.key);
        added->set_value(event.entry.value);
        added->set_revision(event.entry.mod_revision);
        added->set_deleted(event.deleted);
    }
    return message.SerializeAsString();
}

std::optional<relay_poll> decode_relay_poll(std::string_view payload)
{
    storerelay::proto::relay_poll message;
    if (!parse(message, payload) || message.after_revision() < 0 || !is_interval(message.wait_us()))
        return std::nullopt;
    return relay_poll{std::move(*message.mutable_prefix()), message.after_revision(), duration{message.wait_us()}};
}

std::optional<relay_page> decode_relay_page(std::string_view payload)
{
    storerelay::proto::relay_page message;
    if (!parse(message, payload) || !is_status(message.status()) || message.revision() < 0 ||
        !is_interval(message.age_us()) || !is_interval(message.held_us()))
        return std::nullopt;
    relay_page page;
    page.status = static_cast<relay_status>(message.status());
    page.revision = message.revision();
    page.receiving = message.receiving();
    page.age = duration{message.age_us()};
    page.held = duration{message.held_us()};
    for (auto& event : *message.mutable_events()) {
        if (event.revision() < 1)
            return std::nullopt;
        store_entry entry{std::move(*event.mutable_key()), std::move(*event.mutable_value()), event.revision()};
        page.events.push_back({std::move(entry), event.deleted()});
    }
    return page;
}

} // namespace mulberry
