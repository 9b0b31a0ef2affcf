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
/// Prefix of the store's keys with the seeds of each failure domain.
inline constexpr std::string_view seeds_prefix = "seeds/";

/// Limits of the piggybacked changes per message and on average. Without the average, the probes that verify members
/// after a partition carried 8 KB/s, of the 9 KB/s that all control traffic may use.
inline constexpr std::size_t max_piggyback_bytes = 700;
inline constexpr double piggyback_bytes_per_second = 1'200;
/// Size above which the records of an exchange continue in a further message.
inline constexpr std::size_t max_records_bytes = 16'384;
/// Larger payloads are not parsed.
inline constexpr std::size_t max_payload_bytes = 262'144;
/// Maximum number each of members, tombstones and candidates.
inline constexpr std::size_t max_members = 20'000;

/// Number of times that a change is piggybacked, per factor of ten of the fleet size. Published SWIM implementations
/// use 4; here a change is also pushed at once. With 2 transmissions and 10% message loss, healthy members were
/// declared dead.
inline constexpr unsigned transmissions_per_decade = 4;
/// Number of members to which a change is pushed at once (eager push). Each receiver does the same once, so a change
/// reaches 1,400 nodes in six steps.
inline constexpr std::size_t eager_fanout = 4;
/// Delay of an eager push, so that changes within this time are sent in one message. The rate limits the bytes that are
/// pushed when a whole domain changes; without a limit the push used 35 KB/s during the merge after a partition.
inline constexpr duration eager_delay{std::chrono::milliseconds(20)};
inline constexpr double eager_bytes_per_second = 1'200;
/// Number of buckets whose records are sent in one exchange. Sending the whole table would use 31 KB/s with 1,400
/// members after a partition.
inline constexpr std::size_t buckets_per_exchange = 4;

/// Number of times that a node probes a suspected member itself before it declares it dead, because a suspicion that
/// was received late by gossip may already have been refuted. Without these probes, a healthy member was declared dead
/// several times an hour at 10% message loss.
inline constexpr unsigned max_final_probes = 3;

/// Number of members probed per period after a failed probe. It is higher than usual so that a small partitioned group
/// detects that it has lost the other members before their tombstones expire.
inline constexpr std::size_t probes_after_failure = 4;
/// Members received by anti-entropy are probed before they are added: this many of them per period, and each at most
/// max_candidate_probes times.
inline constexpr std::size_t candidates_per_period = 16;
inline constexpr unsigned max_candidate_probes = 3;

/// Time for which the address of a member is still contacted occasionally after its tombstone has expired, so that
/// regions find each other again after a partition of an hour.
inline constexpr duration contact_lifetime{std::chrono::hours(2)};
inline constexpr std::size_t max_contacts = 2'048;
/// Number of seeds that a failure domain publishes in the store.
inline constexpr std::size_t seeds_per_domain = 4;
/// Time after joining during which members received by anti-entropy are added without a probe.
inline constexpr duration joining_time{std::chrono::seconds(10)};

template <typename Container>
const auto& element_at(const Container& container, std::uint64_t index)
{
    return *std::next(container.begin(), static_cast<std::ptrdiff_t>(index));
}

} // namespace detail

/// Implements membership: the failure detector and anti-entropy (failuredetector.cpp), the messages
/// (membershipmessages.cpp), and the handling and gossip of changes (memberchanges.cpp).
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
    bool has_joined() const { return m_has_joined || !has_other_seed(); }
    void receive(std::string_view from, std::string_view payload);

    std::vector<member_listener*> m_listeners;
    std::function<void(std::uint64_t)> m_on_superseded;

private:
    struct pending_probe {
        std::string target;
        /// Name of the node that requested an indirect probe; empty for a probe of this node.
        std::string requester;
        std::uint64_t requester_sequence = 0;
        time_point sent_at{};
        bool indirect_probes_requested = false;
        /// True if a missing response causes no suspicion.
        bool ignore_timeout = false;
    };
    /// A member received by anti-entropy that is added once it has responded to a probe.
    struct candidate {
        member record;
        std::uint64_t version_number = 0;
        unsigned probe_count = 0;
    };
    /// Address of a member that was removed and whose tombstone no longer exists.
    struct contact {
        std::string address;
        time_point expires_at{};
    };

    // Periodic work.
    void schedule_probe_period();
    void run_probe_period();
    void handle_pause(duration pause);
    void reset_for_rejoin();
    void expire_probes();
    void probe_next_members();
    enum class probe_kind : std::uint8_t { regular, suspected_member, candidate_member };
    void probe(const std::string& target, probe_kind kind);
    void request_indirect_probes(std::uint64_t sequence, const pending_probe& pending);
    void probe_suspected_members();
    void declare_expired_suspects_dead();
    void probe_candidates();
    void try_to_join();
    void contact_lost_member();
    void schedule_anti_entropy();
    void run_anti_entropy();
    void read_store_seeds();
    void apply_store_seeds(const range_result& result);
    void publish_seeds(const std::string& key, const store_entry* published);

    // Messages.
    membership_messages::membership_message new_message() const;
    void send(std::string_view to, membership_messages::membership_message& message);
    void send_own_record(std::string_view to);
    void handle_sender(std::string_view from, const membership_messages::membership_message& message);
    void correct_sender(std::string_view from, const detail::record_version& claimed);
    void handle_body(std::string_view from, const membership_messages::membership_message& message);
    void handle_probe_response(std::string_view from, std::uint64_t sequence);
    void handle_indirect_probe(std::string_view from, const membership_messages::indirect_probe& request);
    void handle_join(std::string_view from);
    void handle_digest(std::string_view from, std::uint64_t total);
    void handle_buckets(std::string_view from, const membership_messages::bucket_digest& digest);
    void handle_records(std::string_view from, const membership_messages::bucket_records& records);
    void send_buckets(std::string_view to, std::span<const std::uint32_t> buckets, bool response_requested,
                      std::span<const std::string> tombstone_names);

    // Changes.
    enum class source : std::uint8_t { gossip, anti_entropy };
    void apply(const detail::member_change& change, source from);
    void apply_to_self(const detail::member_change& change);
    void apply_alive(const detail::member_change& change, source from);
    void apply_suspected(const detail::member_change& change);
    void apply_dead(const detail::member_change& change);
    void add_candidate(const detail::member_change& change);
    void accept_record(const member& record, std::uint64_t version_number, bool should_disseminate);
    void confirm_candidate(std::string_view name, std::uint64_t incarnation);
    void start_suspicion(const std::string& name);
    void add_tombstone(const member& last, std::uint64_t version_number);
    void update_self(std::uint64_t version_number);
    void disseminate(const detail::member_change& change, bool eager);
    void send_eager_changes();
    void notify(member changed);
    void handle_superseded(std::uint64_t incarnation);

    std::uint64_t own_version() const { return m_table.find_state(m_name)->version_number; }
    unsigned max_transmissions() const;
    duration suspicion_time() const;
    std::vector<std::string> random_members(std::size_t count, std::string_view except);
    bool has_other_seed() const;
    std::vector<std::string> unknown_seeds() const;
    bool is_joining() const;

    const membership_settings m_settings;
    const std::string m_name;
    timer_service& m_timers;
    random_source& m_random;
    control_link& m_link;
    key_value_store* m_store;
    detail::member_table m_table;
    detail::gossip_queue m_gossip_queue;
    detail::gossip_queue m_eager_queue;
    detail::text_map<candidate> m_candidates;
    std::map<std::string, contact, std::less<>> m_contacts;
    std::vector<member_seed> m_store_seeds;
    std::map<std::uint64_t, pending_probe> m_probes;
    std::vector<std::string> m_probe_order;
    /// Members that this node suspects because its own probes failed. They are probed again each period until the
    /// suspicion ends.
    std::set<std::string> m_own_suspicions;
    std::uint64_t m_last_sequence = 0;
    bool m_probe_failed = false;
    bool m_has_joined = false;
    bool m_is_superseded = false;
    time_point m_joined_at{};
    time_point m_last_probe_period{};
    time_point m_last_received_at{};
    time_point m_next_eager_push{};
    double m_piggyback_tokens = static_cast<double>(detail::max_piggyback_bytes);
    time_point m_piggyback_refilled_at{};
    timer_id m_probe_period_timer = 0;
    timer_id m_anti_entropy_timer = 0;
    timer_id m_store_seed_timer = 0;
    timer_id m_eager_push_timer = 0;
    std::map<std::uint64_t, timer_id> m_probe_timers;
    /// Expires with this object; store callbacks that run later do nothing.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace mulberry
