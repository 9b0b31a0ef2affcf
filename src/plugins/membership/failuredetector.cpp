#include "plugins/membership/membershipimplementation.h"

#include "libs/base/log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberry {

using namespace detail;
using membership_messages::membership_message;

membership::implementation::implementation(membership_settings settings, timer_service& timers, random_source& random,
                                           control_link& link, key_value_store* store)
    : m_settings(std::move(settings)), m_name(m_settings.self.id.name), m_timers(timers), m_random(random),
      m_link(link), m_store(store)
{
    m_table.put(m_settings.self, 1);
    m_last_probe_period = m_timers.now();
    m_last_received_at = m_timers.now();
    m_piggyback_refilled_at = m_timers.now();
    // The random delay keeps nodes that start together from probing at the same time.
    const auto period = static_cast<std::uint64_t>(m_settings.probe_period.count());
    m_probe_period_timer = m_timers.schedule(duration{static_cast<std::int64_t>(m_random.uniform(period))},
                                             [this] { run_probe_period(); });
    schedule_anti_entropy();
    if (m_store != nullptr)
        m_store_seed_timer = m_timers.schedule(duration{0}, [this] { read_store_seeds(); });
}

membership::implementation::~implementation()
{
    for (const timer_id timer : {m_probe_period_timer, m_anti_entropy_timer, m_store_seed_timer, m_eager_push_timer})
        m_timers.cancel(timer);
    for (const auto& [sequence, timer] : m_probe_timers)
        m_timers.cancel(timer);
}

std::optional<std::string> membership::implementation::address_of(std::string_view name) const
{
    if (const member* known = m_table.find(name))
        return known->address;
    if (const auto it = m_candidates.find(name); it != m_candidates.end())
        return it->second.record.address;
    if (const auto* tombstone = m_table.find_tombstone(name))
        return tombstone->address;
    if (const auto it = m_contacts.find(name); it != m_contacts.end())
        return it->second.address;
    for (const auto* seeds : {&m_settings.seeds, &m_store_seeds}) {
        for (const member_seed& seed : *seeds) {
            if (seed.name == name)
                return seed.address;
        }
    }
    return std::nullopt;
}

void membership::implementation::schedule_probe_period()
{
    m_probe_period_timer = m_timers.schedule(m_settings.probe_period, [this] { run_probe_period(); });
}

void membership::implementation::run_probe_period()
{
    schedule_probe_period();
    const duration pause = m_timers.now() - m_last_probe_period - m_settings.probe_period;
    m_last_probe_period = m_timers.now();
    if (pause > m_settings.probe_period)
        return handle_pause(pause);
    if (m_timers.now() - m_last_received_at > m_settings.tombstone_lifetime / 2 && m_has_joined)
        reset_for_rejoin();
    expire_probes();
    declare_expired_suspects_dead();
    probe_suspected_members();
    for (const member_seed& expired : m_table.expire_tombstones(m_timers.now())) {
        if (m_contacts.size() < max_contacts)
            m_contacts[expired.name] = {expired.address, m_timers.now() + contact_lifetime};
    }
    if (!m_has_joined)
        try_to_join();
    probe_next_members();
    probe_candidates();
}

void membership::implementation::handle_pause(duration pause)
{
    log_warning(log_part, "This node was paused for {} ms; its pending probes are discarded.", to_milliseconds(pause));
    for (const auto& [sequence, timer] : m_probe_timers)
        m_timers.cancel(timer);
    m_probe_timers.clear();
    m_probes.clear();
    m_table.postpone_suspicions(pause);
    // Discards queued changes: they may concern members whose tombstones have expired at other nodes, which would add
    // these members again.
    m_gossip_queue.clear();
    m_eager_queue.clear();
    if (pause > m_settings.tombstone_lifetime / 2)
        reset_for_rejoin();
}

/// Removes all other members and joins again. The table of this node is so old that it may contain members whose
/// tombstones have expired at other nodes.
void membership::implementation::reset_for_rejoin()
{
    log_warning(log_part, "This node was isolated for more than {} s and rejoins the fleet.",
                to_milliseconds(m_settings.tombstone_lifetime / 2) / 1000);
    std::vector<member> removed;
    for (const member& known : m_table.members()) {
        if (known.id.name != m_name)
            removed.push_back(known);
    }
    m_gossip_queue.clear();
    m_eager_queue.clear();
    m_candidates.clear();
    m_has_joined = false;
    for (member& known : removed) {
        m_table.remove(known.id.name);
        m_contacts[known.id.name] = {known.address, m_timers.now() + contact_lifetime};
        known.state = member_state::dead;
        notify(known);
    }
}

void membership::implementation::expire_probes()
{
    m_probe_failed = false;
    const time_point now = m_timers.now();
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        const pending_probe& pending = it->second;
        if (now - pending.sent_at < m_settings.probe_period * 9 / 10) {
            ++it;
            continue;
        }
        const pending_probe ended = pending;
        it = m_probes.erase(it);
        if (!ended.requester.empty() || ended.ignore_timeout)
            continue;
        m_probe_failed = true;
        start_suspicion(ended.target);
    }
}

void membership::implementation::probe_next_members()
{
    std::size_t remaining = m_probe_failed ? probes_after_failure : 1;
    std::size_t tries = m_probe_order.size() + 1;
    while (remaining > 0 && tries > 0) {
        if (m_probe_order.empty()) {
            for (const member& known : m_table.members()) {
                if (known.id.name != m_name)
                    m_probe_order.push_back(known.id.name);
            }
            for (std::size_t i = m_probe_order.size(); i > 1; --i)
                std::swap(m_probe_order[i - 1], m_probe_order[m_random.uniform(i)]);
            tries = m_probe_order.size();
            if (tries == 0)
                return;
        }
        const std::string target = std::move(m_probe_order.back());
        m_probe_order.pop_back();
        --tries;
        if (m_table.find(target) == nullptr)
            continue;
        probe(target, probe_kind::regular);
        --remaining;
    }
}

void membership::implementation::probe(const std::string& target, probe_kind kind)
{
    const std::uint64_t sequence = ++m_last_sequence;
    pending_probe& pending = m_probes[sequence];
    pending.target = target;
    pending.sent_at = m_timers.now();
    pending.ignore_timeout = kind != probe_kind::regular;
    membership_message message = new_message();
    message.mutable_probe()->set_sequence(sequence);
    const auto* known = m_table.find_state(target);
    if (known != nullptr && known->suspected_until) {
        // Reports the suspicion to the member, so that it can refute it.
        member_change suspicion;
        suspicion.record.id = m_table.find(target)->id;
        suspicion.version_number = known->version_number;
        suspicion.status = member_status::suspected;
        message.add_changes(encode(suspicion));
    }
    send(target, message);
    if (kind == probe_kind::candidate_member)
        return;
    m_probe_timers[sequence] = m_timers.schedule(m_settings.probe_timeout, [this, sequence] {
        m_probe_timers.erase(sequence);
        const auto it = m_probes.find(sequence);
        if (it != m_probes.end())
            request_indirect_probes(sequence, it->second);
    });
}

void membership::implementation::request_indirect_probes(std::uint64_t sequence, const pending_probe& pending)
{
    for (const std::string& intermediary : random_members(m_settings.indirect_probes, pending.target)) {
        membership_message message = new_message();
        message.mutable_indirect()->set_sequence(sequence);
        message.mutable_indirect()->set_target(pending.target);
        send(intermediary, message);
    }
}

void membership::implementation::probe_suspected_members()
{
    std::erase_if(m_own_suspicions, [this](const std::string& name) {
        const auto* known = m_table.find_state(name);
        return known == nullptr || !known->suspected_until;
    });
    for (const std::string& name : m_own_suspicions)
        probe(name, probe_kind::suspected_member);
}

void membership::implementation::declare_expired_suspects_dead()
{
    for (const std::string& name : m_table.expired_suspicions(m_timers.now())) {
        if (m_table.find_state(name)->final_probes < max_final_probes) {
            m_table.extend_suspicion(name, m_timers.now() + m_settings.probe_period);
            probe(name, probe_kind::suspected_member);
            continue;
        }
        const member* known = m_table.find(name);
        member_change change;
        change.record.id = known->id;
        change.version_number = m_table.find_state(name)->version_number;
        change.status = member_status::dead;
        log_info(log_part, "Member {} did not respond and is declared dead.", to_string(known->id));
        apply_dead(change);
    }
}

void membership::implementation::probe_candidates()
{
    std::vector<std::string> names;
    for (const auto& [name, pending_candidate] : m_candidates)
        names.push_back(name);
    std::sort(names.begin(), names.end());
    std::size_t remaining = candidates_per_period;
    for (const std::string& name : names) {
        if (remaining-- == 0)
            break;
        candidate& pending_candidate = m_candidates.at(name);
        if (++pending_candidate.probe_count > max_candidate_probes) {
            m_candidates.erase(name);
            continue;
        }
        probe(name, probe_kind::candidate_member);
    }
}

bool membership::implementation::has_other_seed() const
{
    const auto other = [this](const member_seed& seed) { return seed.name != m_name; };
    return std::any_of(m_settings.seeds.begin(), m_settings.seeds.end(), other) ||
           std::any_of(m_store_seeds.begin(), m_store_seeds.end(), other);
}

std::vector<std::string> membership::implementation::unknown_seeds() const
{
    std::vector<std::string> names;
    for (const auto* seeds : {&m_settings.seeds, &m_store_seeds}) {
        for (const member_seed& seed : *seeds) {
            if (m_table.find(seed.name) == nullptr)
                names.push_back(seed.name);
        }
    }
    return names;
}

bool membership::implementation::is_joining() const
{
    return !m_has_joined || m_timers.now() - m_joined_at < joining_time;
}

void membership::implementation::try_to_join()
{
    // Random members are targets as well: a seed may have been added because of its own messages before the table was
    // requested from it.
    std::vector<std::string> names = unknown_seeds();
    for (std::string& name : random_members(1, {}))
        names.push_back(std::move(name));
    if (names.empty() && !m_contacts.empty())
        names.push_back(element_at(m_contacts, m_random.uniform(m_contacts.size())).first);
    if (names.empty())
        return;
    membership_message message = new_message();
    message.add_changes(encode(member_change{self(), own_version(), member_status::alive}));
    message.mutable_join();
    send(names[m_random.uniform(names.size())], message);
}

void membership::implementation::contact_lost_member()
{
    std::vector<std::string> names = unknown_seeds();
    for (const auto& [name, tombstone] : m_table.tombstones())
        names.push_back(name);
    for (auto it = m_contacts.begin(); it != m_contacts.end();) {
        if (it->second.expires_at < m_timers.now()) {
            it = m_contacts.erase(it);
            continue;
        }
        names.push_back(it->first);
        ++it;
    }
    std::sort(names.begin(), names.end());
    if (names.empty())
        return;
    const std::string& target = names[m_random.uniform(names.size())];
    membership_message message = new_message();
    message.add_changes(encode(member_change{self(), own_version(), member_status::alive}));
    message.mutable_digest()->set_total(m_table.digest());
    if (const auto* tombstone = m_table.find_tombstone(target)) {
        member_change dead;
        dead.record.id = {target, tombstone->version.incarnation};
        dead.version_number = tombstone->version.number;
        dead.status = member_status::dead;
        message.add_changes(encode(dead));
    }
    send(target, message);
}

void membership::implementation::schedule_anti_entropy()
{
    const auto period = static_cast<std::uint64_t>(m_settings.anti_entropy_period.count());
    const duration delay{static_cast<std::int64_t>(period / 2 + m_random.uniform(period))};
    m_anti_entropy_timer = m_timers.schedule(delay, [this] { run_anti_entropy(); });
}

void membership::implementation::run_anti_entropy()
{
    schedule_anti_entropy();
    contact_lost_member();
    for (const std::string& target : random_members(1, {})) {
        membership_message message = new_message();
        message.mutable_digest()->set_total(m_table.digest());
        send(target, message);
    }
}

void membership::implementation::read_store_seeds()
{
    const auto period = static_cast<std::uint64_t>(m_settings.store_seed_period.count());
    const duration delay{static_cast<std::int64_t>(period / 2 + m_random.uniform(period))};
    m_store_seed_timer = m_timers.schedule(delay, [this] { read_store_seeds(); });
    m_store->range(seeds_prefix, [this, alive = std::weak_ptr(m_alive)](leaf::result<range_result> result) {
        if (!alive.expired() && result)
            apply_store_seeds(*result);
    });
}

void membership::implementation::apply_store_seeds(const range_result& result)
{
    m_store_seeds.clear();
    const std::string own_key = std::string(seeds_prefix) + self().location.failure_domain;
    const store_entry* published = nullptr;
    for (const store_entry& entry : result.entries) {
        if (entry.key == own_key)
            published = &entry;
        membership_messages::seed_list list;
        if (entry.value.size() > max_payload_bytes || !list.ParseFromString(entry.value))
            continue;
        for (const auto& seed : list.seeds()) {
            if (!seed.name().empty() && seed.name() != m_name && m_store_seeds.size() < max_contacts)
                m_store_seeds.push_back({seed.name(), seed.address()});
        }
    }
    publish_seeds(own_key, published);
}

/// Writes the seeds of the own failure domain to the store. Only the domain's first serving member by name does so.
void membership::implementation::publish_seeds(const std::string& key, const store_entry* published)
{
    std::vector<std::pair<std::string, std::string>> serving;
    for (const member& known : m_table.members()) {
        if (known.location.failure_domain == self().location.failure_domain && known.state == member_state::serving)
            serving.emplace_back(known.id.name, known.address);
    }
    std::sort(serving.begin(), serving.end());
    if (serving.empty() || serving.front().first != m_name)
        return;
    serving.resize(std::min(serving.size(), seeds_per_domain));
    membership_messages::seed_list list;
    for (const auto& [name, address] : serving) {
        auto& seed = *list.add_seeds();
        seed.set_name(name);
        seed.set_address(address);
    }
    std::string value = list.SerializeAsString();
    if (published != nullptr && published->value == value)
        return;
    // If the write fails or loses a race, the next read of the seeds repeats it.
    m_store->put_if(key, published == nullptr ? 0 : published->mod_revision, std::move(value), 0, [](const auto&) {});
}

} // namespace mulberry
