#pragma once

#include "plugins/membership/membership.h"

#include "plugins/membership/gossipqueue.h"
#include "plugins/membership/membertable.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

namespace detail {

inline constexpr std::string_view log_part = "membership";
inline constexpr std::string_view seeds_prefix = "seeds/";

/// Piggybacked changes per message and on average. Without the average, the probes that verify members after a
/// partition carried 8 KB/s, of the 9 KB/s that all control traffic may take.
inline constexpr std::size_t max_piggyback_bytes = 700;
inline constexpr double piggyback_bytes_per_second = 1'200;
inline constexpr std::size_t max_records_bytes = 16'384;
/// Above these sizes a payload is not parsed.
inline constexpr std::size_t max_payload_bytes = 262'144;
inline constexpr std::size_t max_members = 20'000;

/// A change is piggybacked this often for each factor of ten of the fleet. Published SWIM implementations use 4; here
/// a change is also pushed at once. With 2 and 10% loss, healthy members were declared dead.
inline constexpr unsigned transmissions_per_decade = 4;
/// Members to which a change is sent at once. Each receiver does the same once, so 1,400 nodes are reached in six
/// steps.
inline constexpr std::size_t eager_fanout = 4;
/// Changes that come together are sent together. The rate bounds the bytes that are pushed when a whole domain changes;
/// an unbounded push took 35 KB/s for the time of a merge.
inline constexpr duration eager_delay{std::chrono::milliseconds(20)};
inline constexpr double eager_bytes_per_second = 1'200;
/// Buckets whose records one exchange carries; the whole table would take 31 KB/s at 1,400 members after a partition.
inline constexpr std::size_t buckets_per_exchange = 4;

/// A suspicion that came late by gossip may have been refuted already, so each node asks the member itself this often
/// before it declares it dead. Without, 10% loss cost a healthy member its place several times an hour.
inline constexpr unsigned max_final_probes = 3;

/// After a failed probe more members are probed per period, so that a small group that was cut off finds out about the
/// others before their tombstones end.
inline constexpr std::size_t probes_after_failure = 4;
/// Members learnt from anti-entropy are probed before they are added; this many per period.
inline constexpr std::size_t candidates_per_period = 16;
inline constexpr unsigned max_candidate_probes = 3;

/// A member lost for longer than its tombstone is still tried now and then, so that regions find each other after an
/// hour of partition.
inline constexpr duration contact_lifetime{std::chrono::hours(2)};
inline constexpr std::size_t max_contacts = 2'048;
/// Seeds that a domain publishes in the store.
inline constexpr std::size_t seeds_per_domain = 4;
/// The whole table is believed for this long after joining.
inline constexpr duration joining_time{std::chrono::seconds(10)};

template <typename Container>
const auto& nth(const Container& container, std::uint64_t index)
{
    return *std::next(container.begin(), static_cast<std::ptrdiff_t>(index));
}

} // namespace detail

/// The failure detector, the gossip and the exchanges behind membership. Its parts are in failuredetector.cpp,
/// membershipmessages.cpp and memberchanges.cpp.
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
    membership_messages::membership_message new_message() const;
    void send(std::string_view to, membership_messages::membership_message& message);
    void send_own_record(std::string_view to);
    void hear_sender(std::string_view from, const membership_messages::membership_message& message);
    void correct_sender(std::string_view from, const detail::record_version& claimed);
    void handle_body(std::string_view from, const membership_messages::membership_message& message);
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
    void apply(const detail::member_change& change, source from);
    void apply_to_self(const detail::member_change& change);
    void apply_alive(const detail::member_change& change, source from);
    void apply_suspected(const detail::member_change& change);
    void apply_dead(const detail::member_change& change);
    void add_candidate(const detail::member_change& change);
    void accept_record(const member& record, std::uint64_t version_number, bool spread);
    void confirm_candidate(std::string_view name, std::uint64_t incarnation);
    void suspect(const std::string& name);
    void bury(const member& last, std::uint64_t version_number);
    void update_self(std::uint64_t version_number);
    void spread(const detail::member_change& change, bool eager);
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
    double m_piggyback_tokens = static_cast<double>(detail::max_piggyback_bytes);
    time_point m_piggyback_filled_at{};
    timer_id m_tick_timer = 0;
    timer_id m_anti_entropy_timer = 0;
    timer_id m_store_timer = 0;
    timer_id m_eager_timer = 0;
    std::map<std::uint64_t, timer_id> m_probe_timers;
    /// Ends with this object; store callbacks that come later do nothing.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace mulberry
