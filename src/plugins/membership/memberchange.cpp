#include "plugins/membership/memberchange.h"

namespace mulberry {

namespace detail {

namespace {

bool is_valid_text(const std::string& text)
{
    return text.size() <= max_text_bytes;
}

bool are_valid_details(const membership_messages::member_details& details)
{
    const bool is_valid_state = details.state() >= static_cast<std::uint32_t>(member_state::starting) &&
                                details.state() <= static_cast<std::uint32_t>(member_state::leaving);
    return is_valid_state && is_valid_text(details.service()) && is_valid_text(details.address()) &&
           is_valid_text(details.domain()) && is_valid_text(details.region());
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
    const bool is_valid_status = in.status() >= static_cast<std::uint32_t>(member_status::alive) &&
                                 in.status() <= static_cast<std::uint32_t>(member_status::dead);
    if (in.name().empty() || !is_valid_text(in.name()) || !is_valid_status || in.version() > max_version_number)
        return std::nullopt;
    member_change change;
    change.record.id = {in.name(), in.incarnation()};
    change.version_number = in.version();
    change.status = static_cast<member_status>(in.status());
    if (change.status != member_status::alive)
        return change;
    const membership_messages::member_details& details = in.details();
    if (!are_valid_details(details))
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
