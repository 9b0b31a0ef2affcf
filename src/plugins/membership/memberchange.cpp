#include "plugins/membership/memberchange.h"

namespace mulberry {

namespace detail {

namespace {

bool text_allowed(const std::string& text)
{
    return text.size() <= max_text_bytes;
}

bool details_allowed(const membership_messages::member_details& details)
{
    const bool state_known = details.state() >= static_cast<std::uint32_t>(member_state::starting) &&
                             details.state() <= static_cast<std::uint32_t>(member_state::leaving);
    return state_known && text_allowed(details.service()) && text_allowed(details.address()) &&
           text_allowed(details.domain()) && text_allowed(details.region());
}

} // namespace

void encode(const member_change& change, membership_messages::member_change& out)
{
    out.set_name(change.record.id.name);
    out.set_incarnation(change.record.id.incarnation);
    out.set_version(change.version_number);
    out.set_status(static_cast<std::uint32_t>(change.status));
    if (change.status != member_status::alive)
        return;
    membership_messages::member_details& details = *out.mutable_details();
    details.set_service(change.record.service);
    details.set_address(change.record.address);
    details.set_domain(change.record.location.failure_domain);
    details.set_region(change.record.location.region);
    details.set_state(static_cast<std::uint32_t>(change.record.state));
    details.set_once_epoch(change.record.once_epoch);
}

std::string encode(const member_change& change)
{
    membership_messages::member_change out;
    encode(change, out);
    return out.SerializeAsString();
}

std::optional<member_change> decode(const membership_messages::member_change& in)
{
    const bool status_known = in.status() >= static_cast<std::uint32_t>(member_status::alive) &&
                              in.status() <= static_cast<std::uint32_t>(member_status::dead);
    if (in.name().empty() || !text_allowed(in.name()) || !status_known || in.version() > max_version_number)
        return std::nullopt;
    member_change change;
    change.record.id = {in.name(), in.incarnation()};
    change.version_number = in.version();
    change.status = static_cast<member_status>(in.status());
    if (change.status != member_status::alive)
        return change;
    const membership_messages::member_details& details = in.details();
    if (!details_allowed(details))
        return std::nullopt;
    change.record.service = details.service();
    change.record.address = details.address();
    change.record.location = {details.domain(), details.region()};
    change.record.state = static_cast<member_state>(details.state());
    change.record.once_epoch = details.once_epoch();
    return change;
}

} // namespace detail

} // namespace mulberry
