#include "plugins/membership/membershipimplementation.h"

#include "libs/base/log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberry {

using namespace detail;
using membership_messages::membership_message;

membership_message membership::implementation::new_message() const
{
    membership_message message;
    message.set_sender_incarnation(self().id.incarnation);
    message.set_sender_version(own_version());
    message.set_sender_epoch(self().once_epoch);
    return message;
}

void membership::implementation::send(std::string_view to, membership_message& message)
{
    const double refill = to_seconds(m_timers.now() - m_piggyback_refilled_at) * piggyback_bytes_per_second;
    m_piggyback_tokens = std::min(m_piggyback_tokens + refill, static_cast<double>(max_piggyback_bytes));
    m_piggyback_refilled_at = m_timers.now();
    const std::size_t bytes =
        m_gossip_queue.append_changes(message, static_cast<std::size_t>(m_piggyback_tokens), max_transmissions());
    m_piggyback_tokens -= static_cast<double>(bytes);
    m_link.send(to, control_channel::membership, message.SerializeAsString());
}

void membership::implementation::send_own_record(std::string_view to)
{
    membership_message message = new_message();
    message.add_changes(encode(member_change{self(), own_version(), member_status::alive}));
    send(to, message);
}

void membership::implementation::receive(std::string_view from, std::string_view payload)
{
    membership_message message;
    const bool parsed =
        payload.size() <= max_payload_bytes && message.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
    if (!parsed || from == m_name || message.sender_version() > detail::max_version_number) {
        log_debug(log_part, "A message from {} is invalid and was dropped.", from);
        return;
    }
    m_last_received_at = m_timers.now();
    m_has_joined = m_has_joined || !has_other_seed();
    for (const auto& encoded : message.changes()) {
        membership_messages::member_change parsed_change;
        if (!parsed_change.ParseFromString(encoded))
            continue;
        if (const auto change = detail::decode(parsed_change))
            apply(*change, source::gossip);
    }
    handle_sender(from, message);
    handle_body(from, message);
}

void membership::implementation::handle_sender(std::string_view from, const membership_message& message)
{
    if (message.record_wanted())
        send_own_record(from);
    const record_version claimed{message.sender_incarnation(), message.sender_version()};
    confirm_candidate(from, claimed.incarnation);
    const member* known = m_table.find(from);
    const auto* tombstone = m_table.find_tombstone(from);
    if ((tombstone != nullptr && tombstone->version >= claimed) ||
        (known != nullptr && m_table.version_of(*known) > claimed))
        return correct_sender(from, claimed);
    if (known == nullptr || m_table.version_of(*known) < claimed) {
        membership_message request = new_message();
        request.set_record_wanted(true);
        return send(from, request);
    }
    if (known->once_epoch < message.sender_epoch()) {
        m_table.set_epoch(from, message.sender_epoch());
        notify(*m_table.find(from));
    }
    if (m_table.find_state(from)->suspected_until)
        correct_sender(from, claimed);
}

/// Sends a member this node's outdated or false record of it, so that the member refutes it.
void membership::implementation::correct_sender(std::string_view from, const record_version& claimed)
{
    member_change correction;
    if (const auto* tombstone = m_table.find_tombstone(from); tombstone != nullptr && tombstone->version >= claimed) {
        correction.record.id = {std::string(from), tombstone->version.incarnation};
        correction.version_number = tombstone->version.number;
        correction.status = member_status::dead;
    }
    else if (const member* known = m_table.find(from)) {
        correction.record = *known;
        correction.version_number = m_table.find_state(from)->version_number;
        correction.status = m_table.find_state(from)->suspected_until ? member_status::suspected : member_status::alive;
    }
    membership_message message = new_message();
    message.add_changes(encode(correction));
    send(from, message);
}

void membership::implementation::handle_body(std::string_view from, const membership_message& message)
{
    switch (message.body_case()) {
    case membership_message::kProbe: {
        membership_message response = new_message();
        response.mutable_answer()->set_sequence(message.probe().sequence());
        return send(from, response);
    }
    case membership_message::kAnswer:
        return handle_probe_response(from, message.answer().sequence());
    case membership_message::kIndirect:
        return handle_indirect_probe(from, message.indirect());
    case membership_message::kJoin:
        return handle_join(from);
    case membership_message::kDigest:
        return handle_digest(from, message.digest().total());
    case membership_message::kBuckets:
        return handle_buckets(from, message.buckets());
    case membership_message::kRecords:
        return handle_records(from, message.records());
    case membership_message::BODY_NOT_SET:
        return;
    }
}

void membership::implementation::handle_probe_response(std::string_view from, std::uint64_t sequence)
{
    const auto it = m_probes.find(sequence);
    if (it == m_probes.end())
        return;
    const pending_probe ended = it->second;
    // An indirect probe made for another node ends only with the response of its target. For a probe of this node, a
    // response from another member is valid as well: it made an indirect probe and responds with the sequence number of
    // this probe.
    if (from != ended.target && !ended.requester.empty())
        return;
    m_probes.erase(it);
    if (const auto timer = m_probe_timers.find(sequence); timer != m_probe_timers.end()) {
        m_timers.cancel(timer->second);
        m_probe_timers.erase(timer);
    }
    if (ended.requester.empty())
        return;
    membership_message response = new_message();
    response.mutable_answer()->set_sequence(ended.requester_sequence);
    send(ended.requester, response);
}

void membership::implementation::handle_indirect_probe(std::string_view from,
                                                       const membership_messages::indirect_probe& request)
{
    if (m_table.find(request.target()) == nullptr || request.target() == m_name)
        return;
    const std::uint64_t sequence = ++m_last_sequence;
    pending_probe& pending = m_probes[sequence];
    pending.target = request.target();
    pending.requester = from;
    pending.requester_sequence = request.sequence();
    pending.sent_at = m_timers.now();
    membership_message message = new_message();
    message.mutable_probe()->set_sequence(sequence);
    send(request.target(), message);
}

void membership::implementation::handle_join(std::string_view from)
{
    std::vector<std::uint32_t> buckets;
    for (std::uint32_t i = 0; i < detail::digest_buckets; ++i)
        buckets.push_back(i);
    send_buckets(from, buckets, false, {});
}

void membership::implementation::handle_digest(std::string_view from, std::uint64_t total)
{
    if (total == m_table.digest())
        return;
    membership_message message = new_message();
    for (const std::uint32_t hash : m_table.buckets())
        message.mutable_buckets()->add_hashes(hash);
    send(from, message);
}

void membership::implementation::handle_buckets(std::string_view from, const membership_messages::bucket_digest& digest)
{
    if (digest.hashes_size() != static_cast<int>(detail::digest_buckets))
        return;
    std::vector<std::uint32_t> differing;
    const auto first = static_cast<std::uint32_t>(m_random.uniform(detail::digest_buckets));
    for (std::uint32_t i = 0; i < detail::digest_buckets && differing.size() < buckets_per_exchange; ++i) {
        const auto bucket = static_cast<std::uint32_t>((first + i) % detail::digest_buckets);
        if (digest.hashes(static_cast<int>(bucket)) != m_table.buckets()[bucket])
            differing.push_back(bucket);
    }
    if (!differing.empty())
        send_buckets(from, differing, true, {});
}

void membership::implementation::handle_records(std::string_view from,
                                                const membership_messages::bucket_records& records)
{
    // The node has joined when it has received the whole table. The last message of the table names all buckets; an
    // exchange of a few buckets may come before it.
    const bool whole_table = records.buckets_size() == static_cast<int>(detail::digest_buckets);
    if (!m_has_joined && whole_table) {
        m_has_joined = true;
        m_joined_at = m_timers.now();
    }
    std::vector<std::string> tombstone_names;
    for (const auto& encoded : records.records()) {
        const auto change = detail::decode(encoded);
        if (!change)
            continue;
        const auto* tombstone = m_table.find_tombstone(change->record.id.name);
        if (tombstone != nullptr && tombstone->version >= change->version())
            tombstone_names.push_back(change->record.id.name);
        apply(*change, source::anti_entropy);
    }
    if (!records.answer_wanted())
        return;
    std::vector<std::uint32_t> buckets;
    for (const std::uint32_t bucket : records.buckets()) {
        if (bucket < detail::digest_buckets && buckets.size() < detail::digest_buckets)
            buckets.push_back(bucket);
    }
    send_buckets(from, buckets, false, tombstone_names);
}

/// Sends all records of the buckets and the tombstones of the given names, in as many messages as needed.
void membership::implementation::send_buckets(std::string_view to, std::span<const std::uint32_t> buckets,
                                              bool response_requested, std::span<const std::string> tombstone_names)
{
    std::array<bool, detail::digest_buckets> requested{};
    for (const std::uint32_t bucket : buckets)
        requested[bucket] = true;
    membership_message message = new_message();
    std::size_t bytes = 0;
    const auto flush = [&] {
        message.mutable_records()->set_answer_wanted(response_requested);
        send(to, message);
        message = new_message();
        bytes = 0;
    };
    const auto add = [&](const member_change& change) {
        auto& record = *message.mutable_records()->add_records();
        encode(change, record);
        bytes += record.ByteSizeLong() + 3;
        if (bytes > max_records_bytes)
            flush();
    };
    for (const std::string& name : tombstone_names) {
        const auto* tombstone = m_table.find_tombstone(name);
        if (tombstone == nullptr)
            continue;
        member_change dead;
        dead.record.id = {name, tombstone->version.incarnation};
        dead.version_number = tombstone->version.number;
        dead.status = member_status::dead;
        add(dead);
    }
    for (const member& known : m_table.members()) {
        if (requested[detail::member_table::bucket_of(known.id.name)])
            add({known, m_table.find_state(known.id.name)->version_number, member_status::alive});
    }
    // Only the last message names the buckets, so the receiver responds with records only once.
    for (const std::uint32_t bucket : buckets)
        message.mutable_records()->add_buckets(bucket);
    flush();
}

} // namespace mulberry
