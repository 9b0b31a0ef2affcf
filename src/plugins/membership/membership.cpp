#include "plugins/membership/membership.h"

#include "plugins/membership/gossipqueue.h"
#include "plugins/membership/membertable.h"

#include "libs/base/log.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace mulberry {

namespace {

using detail::encode;
using detail::member_change;
using detail::member_status;
using detail::record_version;
using membership_messages::membership_message;

constexpr std::string_view log_part = "membership";
constexpr std::string_view seeds_prefix = "seeds/";

/// Piggybacked changes per message and on average. Without the average, the probes that verify members after a
/// partition carried 8 KB/s, of the 9 KB/s that all control traffic may take.
constexpr std::size_t max_piggyback_bytes = 700;
constexpr double piggyback_bytes_per_second = 1'200;
constexpr std::size_t max_records_bytes = 16'384;
/// Above these sizes a payload is not parsed.
constexpr std::size_t max_payload_bytes = 262'144;
constexpr std::size_t max_members = 20'000;

/// A change is piggybacked this often for each factor of ten of the fleet. Published SWIM implementations use 4; here
/// a change is also pushed at once. With 2 and 10% loss, healthy members were declared dead.
constexpr unsigned transmissions_per_decade = 4;
/// Members to which a change is sent at once. Each receiver does the same once, so 1,400 nodes are reached in six
/// steps.
constexpr std::size_t eager_fanout = 4;
/// Changes that come together are sent together. The rate bounds the bytes that are pushed when a whole domain changes;
/// an unbounded push took 35 KB/s for the time of a merge.
constexpr duration eager_delay{std::chrono::milliseconds(20)};
constexpr double eager_bytes_per_second = 1'200;
/// Buckets whose records one exchange carries; the whole table would take 31 KB/s at 1,400 members after a partition.
constexpr std::size_t buckets_per_exchange = 4;

/// A suspicion that came late by gossip may have been refuted already, so each node asks the member itself this often
/// before it declares it dead. Without, 10% loss cost a healthy member its place several times an hour.
constexpr unsigned max_final_probes = 3;

/// After a failed probe more members are probed per period, so that a small group that was cut off finds out about the
/// others before their tombstones end.
constexpr std::size_t probes_after_failure = 4;
/// Members learnt from anti-entropy are probed before they are added; this many per period.
constexpr std::size_t candidates_per_period = 16;
constexpr unsigned max_candidate_probes = 3;

/// A member lost for longer than its tombstone is still tried now and then, so that regions find each other after an
/// hour of partition.
constexpr duration contact_lifetime{std::chrono::hours(2)};
constexpr std::size_t max_contacts = 2'048;
/// Seeds that a domain publishes in the store.
constexpr std::size_t seeds_per_domain = 4;
/// The whole table is believed for this long after joining.
constexpr duration joining_time{std::chrono::seconds(10)};

template <typename Container>
const auto& nth(const Container& container, std::uint64_t index)
{
    return *std::next(container.begin(), static_cast<std::ptrdiff_t>(index));
}

} // namespace

class membership::implementation {
public:
    implementation(membership_settings settings, timer_service& timers, random_source& random, control_link& link,
                   key_value_store* store);
    ~implementation();
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    const member& self() const { return *m_table.find(m_name); }
    const detail::member_table& table() const { return m_table; }
    std::optional<std::string> address_of(std::string_view name) const;
    void set_own_state(member_state state);
    void set_own_epoch(std::uint64_t epoch);
    bool joined() const { return m_joined || !knows_seed(); }
    void receive(std::string_view from, std::string_view payload);

    std::vector<member_listener*> m_listeners;
    std::function<void(std::uint64_t)> m_superseded;

private:
    struct pending_probe {
        std::string target;
        /// Set when the probe is made for another node.
        std::string origin;
        std::uint64_t origin_sequence = 0;
        time_point sent{};
        bool asked_others = false;
        /// A missing answer raises no suspicion.
        bool unmonitored = false;
    };
    struct candidate {
        member record;
        std::uint64_t version_number = 0;
        unsigned probes = 0;
    };
    struct contact {
        std::string address;
        time_point until{};
    };

    // Periodic work.
    void arm_tick();
    void tick();
    void after_pause(duration pause);
    void forget_all();
    void finish_probes();
    void probe_next();
    enum class probe_kind : std::uint8_t { regular, of_suspect, of_candidate };
    void probe(const std::string& target, probe_kind kind);
    void ask_others(std::uint64_t sequence, const pending_probe& pending);
    void probe_suspects();
    void declare_overdue_dead();
    void probe_candidates();
    void try_to_join();
    void contact_lost_member();
    void arm_anti_entropy();
    void anti_entropy();
    void read_store_seeds();
    void use_store_seeds(const range_result& result);
    void publish_seeds(const std::string& key, const store_entry* present);

    // Messages.
    membership_message new_message() const;
    void send(std::string_view to, membership_message& message);
    void send_own_record(std::string_view to);
    void hear_sender(std::string_view from, const membership_message& message);
    void correct_sender(std::string_view from, const record_version& claimed);
    void handle_body(std::string_view from, const membership_message& message);
    void handle_answer(std::string_view from, std::uint64_t sequence);
    void handle_indirect(std::string_view from, const membership_messages::indirect_probe& request);
    void handle_join(std::string_view from);
    void handle_digest(std::string_view from, std::uint64_t total);
    void handle_buckets(std::string_view from, const membership_messages::bucket_digest& digest);
    void handle_records(std::string_view from, const membership_messages::bucket_records& records);
    void send_buckets(std::string_view to, std::span<const std::uint32_t> buckets, bool answer_wanted,
                      std::span<const std::string> graves);

    // Changes.
    enum class source : std::uint8_t { gossip, anti_entropy };
    void apply(const member_change& change, source from);
    void apply_to_self(const member_change& change);
    void apply_alive(const member_change& change, source from);
    void apply_suspected(const member_change& change);
    void apply_dead(const member_change& change);
    void add_candidate(const member_change& change);
    void accept_record(const member& record, std::uint64_t version_number, bool spread);
    void confirm_candidate(std::string_view name, std::uint64_t incarnation);
    void suspect(const std::string& name);
    void bury(const member& last, std::uint64_t version_number);
    void update_self(std::uint64_t version_number);
    void spread(const member_change& change, bool eager);
    void flush_eager();
    void notify(member changed);
    void superseded_by(std::uint64_t incarnation);

    std::uint64_t own_version() const { return m_table.state_of(m_name)->version_number; }
    unsigned max_transmissions() const;
    duration suspicion_time() const;
    std::vector<std::string> random_members(std::size_t count, std::string_view except);
    bool knows_seed() const;
    std::vector<std::string> unknown_seeds() const;
    bool joining() const;

    const membership_settings m_settings;
    const std::string m_name;
    timer_service& m_timers;
    random_source& m_random;
    control_link& m_link;
    key_value_store* m_store;
    detail::member_table m_table;
    detail::gossip_queue m_queue;
    detail::gossip_queue m_eager;
    detail::text_map<candidate> m_candidates;
    std::map<std::string, contact, std::less<>> m_contacts;
    std::vector<member_seed> m_store_seeds;
    std::map<std::uint64_t, pending_probe> m_probes;
    std::vector<std::string> m_probe_order;
    /// Members whose probes by this node failed; they are probed again each period until the suspicion ends.
    std::set<std::string> m_own_suspects;
    std::uint64_t m_last_sequence = 0;
    bool m_probe_failed = false;
    bool m_joined = false;
    bool m_is_superseded = false;
    time_point m_joined_at{};
    time_point m_last_tick{};
    time_point m_last_heard{};
    time_point m_next_eager{};
    double m_piggyback_tokens = static_cast<double>(max_piggyback_bytes);
    time_point m_piggyback_filled_at{};
    timer_id m_tick_timer = 0;
    timer_id m_anti_entropy_timer = 0;
    timer_id m_store_timer = 0;
    timer_id m_eager_timer = 0;
    std::map<std::uint64_t, timer_id> m_probe_timers;
    /// Ends with this object; store callbacks that come later do nothing.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

membership::implementation::implementation(membership_settings settings, timer_service& timers, random_source& random,
                                           control_link& link, key_value_store* store)
    : m_settings(std::move(settings)), m_name(m_settings.self.id.name), m_timers(timers), m_random(random),
      m_link(link), m_store(store)
{
    m_table.put(m_settings.self, 1);
    m_last_tick = m_timers.now();
    m_last_heard = m_timers.now();
    m_piggyback_filled_at = m_timers.now();
    // Nodes that start together must not probe in step.
    const auto period = static_cast<std::uint64_t>(m_settings.probe_period.count());
    m_tick_timer = m_timers.schedule(duration{static_cast<std::int64_t>(m_random.uniform(period))}, [this] { tick(); });
    arm_anti_entropy();
    if (m_store != nullptr)
        m_store_timer = m_timers.schedule(duration{0}, [this] { read_store_seeds(); });
}

membership::implementation::~implementation()
{
    for (const timer_id timer : {m_tick_timer, m_anti_entropy_timer, m_store_timer, m_eager_timer})
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
    if (const auto* mark = m_table.tombstone_of(name))
        return mark->address;
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

// ---- Periodic work ----

void membership::implementation::arm_tick()
{
    m_tick_timer = m_timers.schedule(m_settings.probe_period, [this] { tick(); });
}

void membership::implementation::tick()
{
    arm_tick();
    const duration pause = m_timers.now() - m_last_tick - m_settings.probe_period;
    m_last_tick = m_timers.now();
    if (pause > m_settings.probe_period)
        return after_pause(pause);
    if (m_timers.now() - m_last_heard > m_settings.tombstone_lifetime / 2 && m_joined)
        forget_all();
    finish_probes();
    declare_overdue_dead();
    probe_suspects();
    for (const member_seed& lost : m_table.expire_tombstones(m_timers.now())) {
        if (m_contacts.size() < max_contacts)
            m_contacts[lost.name] = {lost.address, m_timers.now() + contact_lifetime};
    }
    if (!m_joined)
        try_to_join();
    probe_next();
    probe_candidates();
}

void membership::implementation::after_pause(duration pause)
{
    log_warning(log_part, "This node was paused for {} ms; its probes of that time are dropped.",
                to_milliseconds(pause));
    for (const auto& [sequence, timer] : m_probe_timers)
        m_timers.cancel(timer);
    m_probe_timers.clear();
    m_probes.clear();
    m_table.postpone_suspicions(pause);
    // Old claims may be about members whose tombstones have ended elsewhere.
    m_queue.clear();
    m_eager.clear();
    if (pause > m_settings.tombstone_lifetime / 2)
        forget_all();
}

/// What this node knows is older than tombstones may be, so it joins anew.
void membership::implementation::forget_all()
{
    log_warning(log_part, "This node was alone for longer than {} s and joins again.",
                to_milliseconds(m_settings.tombstone_lifetime / 2) / 1000);
    std::vector<member> gone;
    for (const member& known : m_table.members()) {
        if (known.id.name != m_name)
            gone.push_back(known);
    }
    m_queue.clear();
    m_eager.clear();
    m_candidates.clear();
    m_joined = false;
    for (member& known : gone) {
        m_table.remove(known.id.name);
        m_contacts[known.id.name] = {known.address, m_timers.now() + contact_lifetime};
        known.state = member_state::dead;
        notify(known);
    }
}

void membership::implementation::finish_probes()
{
    m_probe_failed = false;
    const time_point now = m_timers.now();
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        const pending_probe& pending = it->second;
        if (now - pending.sent < m_settings.probe_period * 9 / 10) {
            ++it;
            continue;
        }
        const pending_probe ended = pending;
        it = m_probes.erase(it);
        if (!ended.origin.empty() || ended.unmonitored)
            continue;
        m_probe_failed = true;
        suspect(ended.target);
    }
}

void membership::implementation::probe_next()
{
    std::size_t left = m_probe_failed ? probes_after_failure : 1;
    std::size_t tries = m_probe_order.size() + 1;
    while (left > 0 && tries > 0) {
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
        --left;
    }
}

void membership::implementation::probe(const std::string& target, probe_kind kind)
{
    const std::uint64_t sequence = ++m_last_sequence;
    pending_probe& pending = m_probes[sequence];
    pending.target = target;
    pending.sent = m_timers.now();
    pending.unmonitored = kind != probe_kind::regular;
    membership_message message = new_message();
    message.mutable_probe()->set_sequence(sequence);
    const auto* known = m_table.state_of(target);
    if (known != nullptr && known->suspected_until) {
        // The member can refute only what it hears of.
        member_change suspicion;
        suspicion.record.id = m_table.find(target)->id;
        suspicion.version_number = known->version_number;
        suspicion.status = member_status::suspected;
        message.add_changes(encode(suspicion));
    }
    send(target, message);
    if (kind == probe_kind::of_candidate)
        return;
    m_probe_timers[sequence] = m_timers.schedule(m_settings.probe_timeout, [this, sequence] {
        m_probe_timers.erase(sequence);
        const auto it = m_probes.find(sequence);
        if (it != m_probes.end())
            ask_others(sequence, it->second);
    });
}

void membership::implementation::ask_others(std::uint64_t sequence, const pending_probe& pending)
{
    for (const std::string& helper : random_members(m_settings.indirect_probes, pending.target)) {
        membership_message message = new_message();
        message.mutable_indirect()->set_sequence(sequence);
        message.mutable_indirect()->set_target(pending.target);
        send(helper, message);
    }
}

void membership::implementation::probe_suspects()
{
    std::erase_if(m_own_suspects, [this](const std::string& name) {
        const auto* known = m_table.state_of(name);
        return known == nullptr || !known->suspected_until;
    });
    for (const std::string& name : m_own_suspects)
        probe(name, probe_kind::of_suspect);
}

void membership::implementation::declare_overdue_dead()
{
    for (const std::string& name : m_table.overdue(m_timers.now())) {
        if (m_table.state_of(name)->final_probes < max_final_probes) {
            m_table.extend_suspicion(name, m_timers.now() + m_settings.probe_period);
            probe(name, probe_kind::of_suspect);
            continue;
        }
        const member* known = m_table.find(name);
        member_change change;
        change.record.id = known->id;
        change.version_number = m_table.state_of(name)->version_number;
        change.status = member_status::dead;
        log_info(log_part, "Member {} did not answer and is declared dead.", to_string(known->id));
        apply_dead(change);
    }
}

void membership::implementation::probe_candidates()
{
    std::vector<std::string> names;
    for (const auto& [name, waiting] : m_candidates)
        names.push_back(name);
    std::sort(names.begin(), names.end());
    std::size_t left = candidates_per_period;
    for (const std::string& name : names) {
        if (left-- == 0)
            break;
        candidate& waiting = m_candidates.at(name);
        if (++waiting.probes > max_candidate_probes) {
            m_candidates.erase(name);
            continue;
        }
        probe(name, probe_kind::of_candidate);
    }
}

bool membership::implementation::knows_seed() const
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

bool membership::implementation::joining() const
{
    return !m_joined || m_timers.now() - m_joined_at < joining_time;
}

void membership::implementation::try_to_join()
{
    // A seed may have become known by its own messages before it was asked for the table.
    std::vector<std::string> names = unknown_seeds();
    for (std::string& name : random_members(1, {}))
        names.push_back(std::move(name));
    if (names.empty() && !m_contacts.empty())
        names.push_back(nth(m_contacts, m_random.uniform(m_contacts.size())).first);
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
    for (const auto& [name, mark] : m_table.tombstones())
        names.push_back(name);
    for (auto it = m_contacts.begin(); it != m_contacts.end();) {
        if (it->second.until < m_timers.now()) {
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
    if (const auto* mark = m_table.tombstone_of(target)) {
        member_change dead;
        dead.record.id = {target, mark->version.incarnation};
        dead.version_number = mark->version.number;
        dead.status = member_status::dead;
        message.add_changes(encode(dead));
    }
    send(target, message);
}

void membership::implementation::arm_anti_entropy()
{
    const auto period = static_cast<std::uint64_t>(m_settings.anti_entropy_period.count());
    const duration delay{static_cast<std::int64_t>(period / 2 + m_random.uniform(period))};
    m_anti_entropy_timer = m_timers.schedule(delay, [this] { anti_entropy(); });
}

void membership::implementation::anti_entropy()
{
    arm_anti_entropy();
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
    m_store_timer = m_timers.schedule(delay, [this] { read_store_seeds(); });
    m_store->range(seeds_prefix, [this, alive = std::weak_ptr(m_alive)](leaf::result<range_result> result) {
        if (!alive.expired() && result)
            use_store_seeds(*result);
    });
}

void membership::implementation::use_store_seeds(const range_result& result)
{
    m_store_seeds.clear();
    const std::string own_key = std::string(seeds_prefix) + self().location.failure_domain;
    const store_entry* present = nullptr;
    for (const store_entry& entry : result.entries) {
        if (entry.key == own_key)
            present = &entry;
        membership_messages::seed_list list;
        if (entry.value.size() > max_payload_bytes || !list.ParseFromString(entry.value))
            continue;
        for (const auto& seed : list.seeds()) {
            if (!seed.name().empty() && seed.name() != m_name && m_store_seeds.size() < max_contacts)
                m_store_seeds.push_back({seed.name(), seed.address()});
        }
    }
    publish_seeds(own_key, present);
}

/// The first serving member of a domain by name keeps the domain's seeds in the store.
void membership::implementation::publish_seeds(const std::string& key, const store_entry* present)
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
    if (present != nullptr && present->value == value)
        return;
    // A lost race or answer is made good at the next read.
    m_store->put_if(key, present == nullptr ? 0 : present->mod_revision, std::move(value), 0, [](const auto&) {});
}

// ---- Messages ----

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
    const double earned = to_seconds(m_timers.now() - m_piggyback_filled_at) * piggyback_bytes_per_second;
    m_piggyback_tokens = std::min(m_piggyback_tokens + earned, static_cast<double>(max_piggyback_bytes));
    m_piggyback_filled_at = m_timers.now();
    const std::size_t bytes = m_queue.take(message, static_cast<std::size_t>(m_piggyback_tokens), max_transmissions());
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
        log_debug(log_part, "A message from {} could not be read.", from);
        return;
    }
    m_last_heard = m_timers.now();
    m_joined = m_joined || !knows_seed();
    for (const auto& encoded : message.changes()) {
        membership_messages::member_change parsed_change;
        if (!parsed_change.ParseFromString(encoded))
            continue;
        if (const auto change = detail::decode(parsed_change))
            apply(*change, source::gossip);
    }
    hear_sender(from, message);
    handle_body(from, message);
}

void membership::implementation::hear_sender(std::string_view from, const membership_message& message)
{
    if (message.record_wanted())
        send_own_record(from);
    const record_version claimed{message.sender_incarnation(), message.sender_version()};
    confirm_candidate(from, claimed.incarnation);
    const member* known = m_table.find(from);
    const auto* mark = m_table.tombstone_of(from);
    if ((mark != nullptr && mark->version >= claimed) || (known != nullptr && m_table.version_of(*known) > claimed))
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
    if (m_table.state_of(from)->suspected_until)
        correct_sender(from, claimed);
}

/// Tells a member what is believed of it, so that it refutes it.
void membership::implementation::correct_sender(std::string_view from, const record_version& claimed)
{
    member_change belief;
    if (const auto* mark = m_table.tombstone_of(from); mark != nullptr && mark->version >= claimed) {
        belief.record.id = {std::string(from), mark->version.incarnation};
        belief.version_number = mark->version.number;
        belief.status = member_status::dead;
    }
    else if (const member* known = m_table.find(from)) {
        belief.record = *known;
        belief.version_number = m_table.state_of(from)->version_number;
        belief.status = m_table.state_of(from)->suspected_until ? member_status::suspected : member_status::alive;
    }
    membership_message message = new_message();
    message.add_changes(encode(belief));
    send(from, message);
}

void membership::implementation::handle_body(std::string_view from, const membership_message& message)
{
    switch (message.body_case()) {
    case membership_message::kProbe: {
        membership_message answer = new_message();
        answer.mutable_answer()->set_sequence(message.probe().sequence());
        return send(from, answer);
    }
    case membership_message::kAnswer:
        return handle_answer(from, message.answer().sequence());
    case membership_message::kIndirect:
        return handle_indirect(from, message.indirect());
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

void membership::implementation::handle_answer(std::string_view from, std::uint64_t sequence)
{
    const auto it = m_probes.find(sequence);
    if (it == m_probes.end())
        return;
    const pending_probe ended = it->second;
    // A helper answers with the sequence number of the probe that it was asked to make.
    if (from != ended.target && !ended.origin.empty())
        return;
    m_probes.erase(it);
    if (const auto timer = m_probe_timers.find(sequence); timer != m_probe_timers.end()) {
        m_timers.cancel(timer->second);
        m_probe_timers.erase(timer);
    }
    if (ended.origin.empty())
        return;
    membership_message answer = new_message();
    answer.mutable_answer()->set_sequence(ended.origin_sequence);
    send(ended.origin, answer);
}

void membership::implementation::handle_indirect(std::string_view from,
                                                 const membership_messages::indirect_probe& request)
{
    if (m_table.find(request.target()) == nullptr || request.target() == m_name)
        return;
    const std::uint64_t sequence = ++m_last_sequence;
    pending_probe& pending = m_probes[sequence];
    pending.target = request.target();
    pending.origin = from;
    pending.origin_sequence = request.sequence();
    pending.sent = m_timers.now();
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
    // An exchange of a few buckets may come first; only the end of the whole table ends the attempts to join.
    const bool whole_table = records.buckets_size() == static_cast<int>(detail::digest_buckets);
    if (!m_joined && whole_table) {
        m_joined = true;
        m_joined_at = m_timers.now();
    }
    std::vector<std::string> graves;
    for (const auto& encoded : records.records()) {
        const auto change = detail::decode(encoded);
        if (!change)
            continue;
        const auto* mark = m_table.tombstone_of(change->record.id.name);
        if (mark != nullptr && mark->version >= change->version())
            graves.push_back(change->record.id.name);
        apply(*change, source::anti_entropy);
    }
    if (!records.answer_wanted())
        return;
    std::vector<std::uint32_t> buckets;
    for (const std::uint32_t bucket : records.buckets()) {
        if (bucket < detail::digest_buckets && buckets.size() < detail::digest_buckets)
            buckets.push_back(bucket);
    }
    send_buckets(from, buckets, false, graves);
}

/// Sends all records of the buckets in as many messages as needed, and the tombstones that were asked for.
void membership::implementation::send_buckets(std::string_view to, std::span<const std::uint32_t> buckets,
                                              bool answer_wanted, std::span<const std::string> graves)
{
    std::array<bool, detail::digest_buckets> wanted{};
    for (const std::uint32_t bucket : buckets)
        wanted[bucket] = true;
    membership_message message = new_message();
    std::size_t bytes = 0;
    const auto flush = [&] {
        message.mutable_records()->set_answer_wanted(answer_wanted);
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
    for (const std::string& name : graves) {
        const auto* mark = m_table.tombstone_of(name);
        if (mark == nullptr)
            continue;
        member_change dead;
        dead.record.id = {name, mark->version.incarnation};
        dead.version_number = mark->version.number;
        dead.status = member_status::dead;
        add(dead);
    }
    for (const member& known : m_table.members()) {
        if (wanted[detail::member_table::bucket_of(known.id.name)])
            add({known, m_table.state_of(known.id.name)->version_number, member_status::alive});
    }
    // Only the last message names the buckets, so the receiver answers once.
    for (const std::uint32_t bucket : buckets)
        message.mutable_records()->add_buckets(bucket);
    flush();
}

// ---- Changes ----

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
        return superseded_by(change.version().incarnation);
    if (change.version() < own || change.version().incarnation < own.incarnation)
        return;
    if (self().state == member_state::dead)
        return;
    if (change.status == member_status::alive && change.version() == own)
        return;
    update_self(change.version_number + 1);
}

void membership::implementation::superseded_by(std::uint64_t incarnation)
{
    if (std::exchange(m_is_superseded, true))
        return;
    log_error(log_part, "Another run of {} has the incarnation {}, which is above that of this run.", m_name,
              incarnation);
    if (m_superseded)
        m_superseded(incarnation);
}

void membership::implementation::apply_alive(const member_change& change, source from)
{
    const std::string& name = change.record.id.name;
    const auto* mark = m_table.tombstone_of(name);
    if (mark != nullptr && mark->version >= change.version())
        return;
    const member* known = m_table.find(name);
    if (known == nullptr && from == source::anti_entropy && !joining())
        return add_candidate(change);
    if (known == nullptr && m_table.members().size() >= max_members)
        return;
    if (known != nullptr && m_table.version_of(*known) >= change.version())
        return;
    accept_record(change.record, change.version_number, from == source::gossip || known != nullptr);
}

/// A record that only one side holds may be older than its tombstone was, so the member itself must answer first.
void membership::implementation::add_candidate(const member_change& change)
{
    if (m_candidates.size() >= max_members)
        return;
    const auto [it, inserted] = m_candidates.try_emplace(change.record.id.name);
    const record_version waiting{it->second.record.id.incarnation, it->second.version_number};
    if (inserted || waiting < change.version())
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

void membership::implementation::accept_record(const member& record, std::uint64_t version_number, bool spread_it)
{
    const member* known = m_table.find(record.id.name);
    const bool is_new = known == nullptr || known->id != record.id;
    const bool changed_state = !is_new && known->state != record.state;
    member accepted = record;
    if (!is_new)
        accepted.once_epoch = std::max(accepted.once_epoch, known->once_epoch);
    const bool differs = known == nullptr || *known != accepted;
    m_table.unbury(record.id.name);
    m_contacts.erase(record.id.name);
    if (const auto it = m_candidates.find(record.id.name); it != m_candidates.end())
        m_candidates.erase(it);
    m_table.put(accepted, version_number);
    if (spread_it)
        spread({accepted, version_number, member_status::alive}, is_new || changed_state);
    if (differs)
        notify(accepted);
}

void membership::implementation::apply_suspected(const member_change& change)
{
    const member* known = m_table.find(change.record.id.name);
    if (known == nullptr || known->id.incarnation != change.version().incarnation)
        return;
    const auto* state = m_table.state_of(known->id.name);
    if (change.version_number < state->version_number || state->suspected_until)
        return;
    m_table.suspect(known->id.name, m_timers.now() + suspicion_time());
    spread(change, false);
}

void membership::implementation::suspect(const std::string& name)
{
    const member* known = m_table.find(name);
    if (known == nullptr || m_table.state_of(name)->suspected_until)
        return;
    log_debug(log_part, "Member {} is suspected.", to_string(known->id));
    member_change change;
    change.record.id = known->id;
    change.version_number = m_table.state_of(name)->version_number;
    change.status = member_status::suspected;
    m_own_suspects.insert(name);
    apply_suspected(change);
}

void membership::implementation::apply_dead(const member_change& change)
{
    const std::string& name = change.record.id.name;
    const member* known = m_table.find(name);
    if (known == nullptr) {
        if (const auto it = m_candidates.find(name); it != m_candidates.end())
            m_candidates.erase(it);
        const auto* mark = m_table.tombstone_of(name);
        if (mark == nullptr && m_table.tombstones().size() < max_members)
            m_table.bury(name, {change.version(), {}, m_timers.now() + m_settings.tombstone_lifetime});
        return;
    }
    if (change.version() < m_table.version_of(*known))
        return;
    member last = m_table.remove(name);
    m_table.bury(name, {change.version(), last.address, m_timers.now() + m_settings.tombstone_lifetime});
    spread(change, true);
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
    // The epoch changes every minute on every node. It travels with probes only: as a gossiped change it would cost
    // more than everything else together.
    if (epoch > self().once_epoch)
        m_table.set_epoch(m_name, epoch);
}

void membership::implementation::update_self(std::uint64_t version_number)
{
    const member record = self();
    m_table.put(record, version_number);
    const bool gone = record.state == member_state::dead;
    spread({record, version_number, gone ? member_status::dead : member_status::alive}, true);
    notify(record);
}

void membership::implementation::spread(const member_change& change, bool eager)
{
    m_queue.add(change);
    if (!eager)
        return;
    m_eager.add(change);
    if (m_eager_timer != 0)
        return;
    m_eager_timer = m_timers.schedule(std::max(eager_delay, m_next_eager - m_timers.now()), [this] { flush_eager(); });
}

void membership::implementation::flush_eager()
{
    m_eager_timer = 0;
    membership_message changes;
    m_eager.take(changes, max_piggyback_bytes, 1);
    std::size_t bytes = 0;
    for (const std::string& target : random_members(eager_fanout, {})) {
        membership_message message = new_message();
        *message.mutable_changes() = changes.changes();
        std::string payload = message.SerializeAsString();
        bytes += payload.size();
        m_link.send(target, control_channel::membership, std::move(payload));
    }
    const duration wait = from_seconds(static_cast<double>(bytes) / eager_bytes_per_second);
    m_next_eager = m_timers.now() + wait;
    if (m_eager.size() > 0)
        m_eager_timer = m_timers.schedule(wait, [this] { flush_eager(); });
}

/// Takes a copy, because a listener may change the own record.
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
    const std::size_t excluded = 1 + (m_table.find(except) != nullptr ? 1 : 0);
    const std::size_t wanted = std::min(count, members.size() - std::min(members.size(), excluded));
    while (names.size() < wanted) {
        const std::string& name = members[m_random.uniform(members.size())].id.name;
        const bool usable = name != m_name && name != except;
        if (usable && std::find(names.begin(), names.end(), name) == names.end())
            names.push_back(name);
    }
    return names;
}

// ---- Public class ----

membership::membership(membership_settings settings, timer_service& timers, random_source& random, control_link& link,
                       key_value_store* store)
    : m_implementation(std::make_unique<implementation>(std::move(settings), timers, random, link, store))
{
}

membership::~membership() = default;

const member& membership::self() const
{
    return m_implementation->self();
}

std::span<const member> membership::members() const
{
    return m_implementation->table().members();
}

std::span<const member> membership::members_of(std::string_view service) const
{
    return m_implementation->table().members_of(service);
}

const member* membership::find(std::string_view name) const
{
    return m_implementation->table().find(name);
}

std::optional<std::string> membership::address_of(std::string_view name) const
{
    return m_implementation->address_of(name);
}

void membership::add_listener(member_listener& listener)
{
    m_implementation->m_listeners.push_back(&listener);
}

void membership::remove_listener(member_listener& listener)
{
    std::erase(m_implementation->m_listeners, &listener);
}

void membership::set_own_state(member_state state)
{
    m_implementation->set_own_state(state);
}

void membership::set_own_epoch(std::uint64_t epoch)
{
    m_implementation->set_own_epoch(epoch);
}

void membership::on_superseded(std::function<void(std::uint64_t)> callback)
{
    m_implementation->m_superseded = std::move(callback);
}

bool membership::joined() const
{
    return m_implementation->joined();
}

void membership::on_message(std::string_view from, std::string_view payload)
{
    m_implementation->receive(from, payload);
}

} // namespace mulberry
