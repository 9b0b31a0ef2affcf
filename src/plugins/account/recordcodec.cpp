#include "plugins/account/recordcodec.h"

#include <algorithm>

namespace mulberry {

void lost_records::add(const lost_records& other)
{
    if (records == 0 && until == wall_time{}) {
        const std::string name = node;
        *this = other;
        node = name;
        return;
    }
    from = std::min(from, other.from);
    until = std::max(until, other.until);
    records += other.records;
    protected_lost = protected_lost || other.protected_lost;
}

namespace detail {

namespace {

/// Stands for the names that no longer fit into the table.
constexpr std::string_view overflow_name = "(not kept)";
/// Estimated memory of a name in the vector and the map, in addition to its characters.
constexpr std::size_t name_overhead_bytes = 128;

} // namespace

std::uint32_t name_table::number_of(std::string_view name)
{
    if (name.empty())
        return 0;
    std::string stored_name(name.substr(0, max_name_bytes));
    const auto it = m_numbers.find(stored_name);
    if (it != m_numbers.end())
        return it->second;
    if (m_names.size() + 1 >= m_max_names)
        stored_name = overflow_name;
    const auto [entry, is_new] = m_numbers.try_emplace(stored_name, static_cast<std::uint32_t>(m_names.size() + 1));
    if (is_new) {
        m_names.push_back(stored_name);
        m_bytes += 2 * stored_name.size() + name_overhead_bytes;
    }
    return entry->second;
}

std::string_view name_table::name_of(std::uint32_t number) const
{
    return number == 0 || number > m_names.size() ? std::string_view{} : std::string_view(m_names[number - 1]);
}

void encode(const decision_record& record, name_table& names, account_messages::decision& out)
{
    out.set_request_id(record.request_id.substr(0, max_request_id_bytes));
    out.set_fingerprint(record.fingerprint);
    out.set_hop(record.hop);
    out.set_role(static_cast<std::uint32_t>(record.role));
    out.set_node(names.number_of(record.node));
    out.set_peer(names.number_of(record.peer));
    out.set_organisation(names.number_of(record.organisation));
    out.set_service(names.number_of(record.service));
    out.set_route(names.number_of(record.route));
    out.set_unknown(names.number_of(record.unknown));
    out.set_importance(static_cast<std::uint32_t>(record.level));
    out.set_idempotent(record.idempotent);
    if (record.reason)
        out.set_reason_plus_one(static_cast<std::uint32_t>(*record.reason) + 1);
    out.set_attempts(record.attempts);
    out.set_configuration_revision(record.configuration_revision);
    out.set_status(record.status);
    out.set_outcome(static_cast<std::uint32_t>(record.result));
    out.set_received_ms(static_cast<std::uint64_t>(record.received.time_since_epoch().count()));
    out.set_waited_us(static_cast<std::uint64_t>(std::max(record.waited, duration{0}).count()));
    out.set_took_us(static_cast<std::uint64_t>(std::max(record.took, duration{0}).count()));
}

bool fields_allowed(const account_messages::decision& in)
{
    // Far above all times that occur, and far below the range of the clock. The unit is that of the field: milliseconds
    // or microseconds.
    constexpr std::uint64_t max_time_value = std::uint64_t{1} << 50;
    const bool role_known = in.role() == static_cast<std::uint32_t>(hop_role::entry) ||
                            in.role() == static_cast<std::uint32_t>(hop_role::guard);
    return role_known && !in.request_id().empty() && in.request_id().size() <= max_request_id_bytes &&
           in.importance() < all_importances.size() &&
           in.reason_plus_one() <= static_cast<std::uint32_t>(refusal_reason::count) &&
           in.outcome() <= static_cast<std::uint32_t>(outcome::unknown) && in.received_ms() < max_time_value &&
           in.waited_us() < max_time_value && in.took_us() < max_time_value;
}

void decode_numbers(const account_messages::decision& in, decision_record& out)
{
    out.request_id = in.request_id();
    out.fingerprint = in.fingerprint();
    out.hop = in.hop();
    out.role = static_cast<hop_role>(in.role());
    out.level = static_cast<importance>(in.importance());
    out.idempotent = in.idempotent();
    if (in.reason_plus_one() > 0)
        out.reason = static_cast<refusal_reason>(in.reason_plus_one() - 1);
    out.attempts = in.attempts();
    out.configuration_revision = in.configuration_revision();
    out.status = in.status();
    out.result = static_cast<outcome>(in.outcome());
    out.received = wall_time(std::chrono::milliseconds(static_cast<std::int64_t>(in.received_ms())));
    out.waited = duration(static_cast<std::int64_t>(in.waited_us()));
    out.took = duration(static_cast<std::int64_t>(in.took_us()));
}

void encode(const lost_records& lost, account_messages::lost_range& out)
{
    out.set_from_ms(lost.from.time_since_epoch().count());
    out.set_until_ms(lost.until.time_since_epoch().count());
    out.set_records(lost.records);
    out.set_protected_lost(lost.protected_lost);
}

lost_records decode(const account_messages::lost_range& in, std::string_view node)
{
    return {std::string(node), wall_time(std::chrono::milliseconds(in.from_ms())),
            wall_time(std::chrono::milliseconds(in.until_ms())), in.records(), in.protected_lost()};
}

} // namespace detail

} // namespace mulberry
