#include "plugins/membership/membershipimplementation.h"

#include "libs/base/log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberry {

using namespace detail;
using membership_messages::membership_message;

void membership::implementation::apply(const member_change& change, source from)
{
    if (change.record.id.name == m_name)
        return apply_to_self(change);
    switch (change.status) {
    case member_status::alive:
        return apply_alive(change, from);
    case member_status::suspected:
        return apply_suspected(change);
    case member_status::dead:
        return apply_dead(change);
    }
}

void membership::implementation::apply_to_self(const member_change& change)
{
    const record_version own{self().id.incarnation, own_version()};
    if (change.version().incarnation > own.incarnation)
        return handle_superseded(change.version().incarnation);
    if (change.version() < own || change.version().incarnation < own.incarnation)
        return;
    if (self().state == member_state::dead)
        return;
    if (change.status == member_status::alive && change.version() == own)
        return;
    update_self(change.version_number + 1);
}

void membership::implementation::handle_superseded(std::uint64_t incarnation)
{
    if (std::exchange(m_is_superseded, true))
        return;
    log_error(log_part, "Another run of {} has the incarnation {}, which is higher than that of this run.", m_name,
              incarnation);
    if (m_on_superseded)
        m_on_superseded(incarnation);
}

void membership::implementation::apply_alive(const member_change& change, source from)
{
    const std::string& name = change.record.id.name;
    const auto* tombstone = m_table.find_tombstone(name);
    if (tombstone != nullptr && tombstone->version >= change.version())
        return;
    const member* known = m_table.find(name);
    if (known == nullptr && from == source::anti_entropy && !is_joining())
        return add_candidate(change);
    if (known == nullptr && m_table.members().size() >= max_members)
        return;
    if (known != nullptr && m_table.version_of(*known) >= change.version())
        return;
    accept_record(change.record, change.version_number, from == source::gossip || known != nullptr);
}

/// Adds a member that was received by anti-entropy to the candidates. Its record may be older than a tombstone that has
/// expired, so the member itself must respond to a probe before it is added.
void membership::implementation::add_candidate(const member_change& change)
{
    if (m_candidates.size() >= max_members)
        return;
    const auto [it, inserted] = m_candidates.try_emplace(change.record.id.name);
    const record_version candidate_version{it->second.record.id.incarnation, it->second.version_number};
    if (inserted || candidate_version < change.version())
        it->second = {change.record, change.version_number, 0};
}

void membership::implementation::confirm_candidate(std::string_view name, std::uint64_t incarnation)
{
    const auto it = m_candidates.find(name);
    if (it == m_candidates.end() || it->second.record.id.incarnation != incarnation)
        return;
    const candidate confirmed = it->second;
    m_candidates.erase(it);
    apply_alive({confirmed.record, confirmed.version_number, member_status::alive}, source::gossip);
}

void membership::implementation::accept_record(const member& record, std::uint64_t version_number,
                                               bool should_disseminate)
{
    const member* known = m_table.find(record.id.name);
    const bool is_new = known == nullptr || known->id != record.id;
    const bool changed_state = !is_new && known->state != record.state;
    member accepted = record;
    if (!is_new)
        accepted.once_epoch = std::max(accepted.once_epoch, known->once_epoch);
    const bool differs = known == nullptr || *known != accepted;
    m_table.remove_tombstone(record.id.name);
    m_contacts.erase(record.id.name);
    if (const auto it = m_candidates.find(record.id.name); it != m_candidates.end())
        m_candidates.erase(it);
    m_table.put(accepted, version_number);
    if (should_disseminate)
        disseminate({accepted, version_number, member_status::alive}, is_new || changed_state);
    if (differs)
        notify(accepted);
}

void membership::implementation::apply_suspected(const member_change& change)
{
    const member* known = m_table.find(change.record.id.name);
    if (known == nullptr || known->id.incarnation != change.version().incarnation)
        return;
    const auto* state = m_table.find_state(known->id.name);
    if (change.version_number < state->version_number || state->suspected_until)
        return;
    m_table.set_suspicion(known->id.name, m_timers.now() + suspicion_time());
    disseminate(change, false);
}

void membership::implementation::start_suspicion(const std::string& name)
{
    const member* known = m_table.find(name);
    if (known == nullptr || m_table.find_state(name)->suspected_until)
        return;
    log_debug(log_part, "Member {} is suspected.", to_string(known->id));
    member_change change;
    change.record.id = known->id;
    change.version_number = m_table.find_state(name)->version_number;
    change.status = member_status::suspected;
    m_own_suspicions.insert(name);
    apply_suspected(change);
}

void membership::implementation::apply_dead(const member_change& change)
{
    const std::string& name = change.record.id.name;
    const member* known = m_table.find(name);
    if (known == nullptr) {
        if (const auto it = m_candidates.find(name); it != m_candidates.end())
            m_candidates.erase(it);
        const auto* tombstone = m_table.find_tombstone(name);
        if (tombstone == nullptr && m_table.tombstones().size() < max_members)
            m_table.add_tombstone(name, {change.version(), {}, m_timers.now() + m_settings.tombstone_lifetime});
        return;
    }
    if (change.version() < m_table.version_of(*known))
        return;
    member last = m_table.remove(name);
    m_table.add_tombstone(name, {change.version(), last.address, m_timers.now() + m_settings.tombstone_lifetime});
    disseminate(change, true);
    last.state = member_state::dead;
    notify(last);
}

void membership::implementation::set_own_state(member_state state)
{
    if (state <= self().state)
        return;
    member record = self();
    record.state = state;
    m_table.put(record, own_version());
    update_self(own_version() + 1);
}

void membership::implementation::set_own_epoch(std::uint64_t epoch)
{
    // The epoch changes every minute on every node. It is sent only in the header of messages: as gossip it would use
    // more bytes than all other changes together.
    if (epoch > self().once_epoch)
        m_table.set_epoch(m_name, epoch);
}

void membership::implementation::update_self(std::uint64_t version_number)
{
    const member record = self();
    m_table.put(record, version_number);
    const bool is_dead = record.state == member_state::dead;
    disseminate({record, version_number, is_dead ? member_status::dead : member_status::alive}, true);
    notify(record);
}

void membership::implementation::disseminate(const member_change& change, bool eager)
{
    m_gossip_queue.add(change);
    if (!eager)
        return;
    m_eager_queue.add(change);
    if (m_eager_push_timer != 0)
        return;
    m_eager_push_timer =
        m_timers.schedule(std::max(eager_delay, m_next_eager_push - m_timers.now()), [this] { send_eager_changes(); });
}

void membership::implementation::send_eager_changes()
{
    m_eager_push_timer = 0;
    membership_message changes;
    m_eager_queue.append_changes(changes, max_piggyback_bytes, 1);
    std::size_t bytes = 0;
    for (const std::string& target : random_members(eager_fanout, {})) {
        membership_message message = new_message();
        *message.mutable_changes() = changes.changes();
        std::string payload = message.SerializeAsString();
        bytes += payload.size();
        m_link.send(target, control_channel::membership, std::move(payload));
    }
    const duration wait = from_seconds(static_cast<double>(bytes) / eager_bytes_per_second);
    m_next_eager_push = m_timers.now() + wait;
    if (m_eager_queue.size() > 0)
        m_eager_push_timer = m_timers.schedule(wait, [this] { send_eager_changes(); });
}

/// The parameter is a copy, because a listener may change the own record.
void membership::implementation::notify(member changed)
{
    for (member_listener* listener : m_listeners)
        listener->on_member_changed(changed);
}

unsigned membership::implementation::max_transmissions() const
{
    const auto count = static_cast<double>(m_table.members().size());
    return transmissions_per_decade * static_cast<unsigned>(std::ceil(std::log10(count + 1)));
}

duration membership::implementation::suspicion_time() const
{
    const auto count = static_cast<double>(m_table.members().size());
    return from_seconds(to_seconds(m_settings.suspicion_time) * std::max(1.0, std::log10(count)));
}

std::vector<std::string> membership::implementation::random_members(std::size_t count, std::string_view except)
{
    std::vector<std::string> names;
    const auto members = m_table.members();
    const std::size_t excluded_count = 1 + (m_table.find(except) != nullptr ? 1 : 0);
    const std::size_t target_count = std::min(count, members.size() - std::min(members.size(), excluded_count));
    while (names.size() < target_count) {
        const std::string& name = members[m_random.uniform(members.size())].id.name;
        const bool usable = name != m_name && name != except;
        if (usable && std::find(names.begin(), names.end(), name) == names.end())
            names.push_back(name);
    }
    return names;
}

} // namespace mulberry
