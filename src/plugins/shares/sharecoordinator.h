#pragma once

#include "libs/base/periodictimer.h"
#include "plugins/shares/sharepool.h"
#include "plugins/shares/sharestatus.h"
#include "plugins/shares/tokenbucket.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry::shares {

/// Shares by organisation.
using share_map = std::map<std::string, share, std::less<>>;

/// Interface of a share coordinator to its node.
class coordinator_owner {
public:
    coordinator_owner() = default;
    coordinator_owner(const coordinator_owner&) = delete;
    coordinator_owner& operator=(const coordinator_owner&) = delete;
    virtual ~coordinator_owner() = default;

    virtual void send(std::string_view to, const messages::envelope& message) = 0;
    /// The pool document names this coordinator for the node's own domain. The name is empty if there is none or if it
    /// is an earlier incarnation of this node.
    virtual void on_coordinator_named(const std::string& name, std::uint64_t epoch) = 0;
    /// Another coordinator was named. The shares that this one had not granted may be used until the end of its lease.
    virtual void on_role_lost(const share_map& remaining, time_point end) = 0;
    /// The coordinator's planned stop is complete.
    virtual void on_resigned() = 0;
};

/// Share coordinator of one group of organisations in this node's failure domain; active if the pool document names
/// this node. It divides the domain's share among the nodes by grants. The sum of the granted, free and locked shares
/// always equals the domain's entry in the pool document. In the messages and the pool document, the coordinator is
/// called the keeper.
class share_coordinator final : public pool_listener {
public:
    share_coordinator(const share_settings& settings, std::uint32_t group, timer_service& timers, random_source& random,
                      key_value_store& store, coordinator_owner& owner);

    void set_limits(std::string_view organisation, rate_limit limits);
    /// Reads the pool document and reports the coordinator named in it.
    void look_up_coordinator() { m_pool.refresh(); }
    /// Takes over the role if the document still has this epoch, or names no coordinator.
    void replace(std::uint64_t epoch);
    /// The same, but only if the named coordinator has missed two renewals.
    void replace_if_stale(std::uint64_t epoch);
    /// Gives up the role and leaves the shares that were not granted in the document for the successor.
    void resign();
    void on_report(std::string_view from, const messages::report& report);

    bool is_active() const { return m_active; }
    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t store_calls() const { return m_pool.store_calls(); }
    std::vector<domain_share_status> status() const;

    bool prepare_write(messages::pool_document& document) override;
    void on_write_resolved(bool applied, time_point sent_at) override;
    void on_pool_changed() override;
    void on_pool_unreachable() override;

private:
    /// One node's holdings of one organisation, as totals of its session.
    struct node_holdings {
        share adopted;
        share granted;
        share returned;
        micro_tokens demand = 0;

        share outstanding() const { return adopted + granted - returned; }
    };

    struct lease_session {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        /// By this time the node's lease has expired on every clock.
        time_point lease_end{};
        time_point last_report_at{};
        bool is_closed = false;
        std::map<std::string, node_holdings, std::less<>> holdings;
    };

    /// The latest session of a node, and sessions of its earlier incarnations whose leases have not expired.
    struct node_sessions {
        lease_session current_session;
        std::vector<lease_session> former_sessions;
    };

    struct organisation_state {
        token_bucket free_bucket;
        /// The domain's entry in the pool document as last confirmed.
        share_units confirmed_units = 0;
        share_units locked_rate = 0;
        share_units locked_capacity = 0;
        share leased_share;
        /// Share that the write in progress releases.
        share pending_release;
        micro_tokens demand = 0;
        /// Usable units that the domain should have; less than its present share if another domain is overloaded.
        share_units usable_target = full_share;

        share_units usable_units() const;
    };

    /// The target of this domain for one organisation, and whether another domain is overloaded and should get more.
    struct domain_plan {
        share_units target = 0;
        bool others_need_more = false;
    };

    bool is_lease_valid() const { return m_active && m_holds_entry && m_timers.now() < m_lease_end; }
    bool names_this_node(const messages::pool_domain* own) const;
    bool is_renewal_overdue() const;
    bool is_vacant(const messages::pool_domain& own) const;
    void lose_role();

    bool prepare_takeover(messages::pool_document& document, messages::pool_domain& own);
    void prepare_resignation(messages::pool_domain& own);
    void prepare_entries(messages::pool_document& document, messages::pool_domain& own);
    void release_expired_domains(messages::pool_document& document) const;
    void finish_takeover(const messages::pool_domain& own, time_point sent_at);
    void finish_renewal(const messages::pool_domain& own);
    void restore_pending_release();

    void tick();
    void check_lease_expiry();
    void unlock_expired();
    void reclaim_expired();
    void remove_demand(lease_session& session);
    void reclaim(lease_session& session);

    static bool is_overloaded(const organisation_state& state);
    static share_units release_threshold(const organisation_state& state);
    static share_units releasable_units(const organisation_state& state, share_units target);
    domain_plan plan_domain_share(const messages::pool_document& document, const std::string& name,
                                  const organisation_state& state) const;
    share_units claimable_units(const messages::pool_document& document, const std::string& name,
                                const organisation_state& state) const;
    bool review_organisation(const std::string& name, organisation_state& state);
    void review();
    void request_returns(const std::string& name, const organisation_state& state);

    node_sessions* open_session(std::string_view from, const messages::report& report);
    static share target_for(const organisation_state& state, const node_holdings& entry);
    static bool increases_adopted(const lease_session& session, const messages::report& report);
    bool adopt_lines(lease_session& session, const messages::report& report);
    static void apply_returns(node_holdings& entry, organisation_state& state, const messages::report_line& line);
    void add_grant_line(lease_session& session, const messages::report_line& line, bool remote,
                        messages::grant& response);
    duration grant_tokens(organisation_state& state, const messages::report_line& line, bool remote, share& new_share);
    bool is_fleet_overloaded(const std::string& name, const organisation_state& state) const;
    void add_other_coordinators(messages::grant& response) const;
    duration denial_duration(const std::string& name, const organisation_state& state, micro_tokens needed);
    static void check_sums(const organisation_state& state);
    void reject(std::string_view to, const messages::report& report);
    void redirect(std::string_view to);
    organisation_state& find_or_add_organisation(std::string_view name);

    const share_settings& m_settings;
    std::uint32_t m_group;
    timer_service& m_timers;
    random_source& m_random;
    coordinator_owner& m_owner;
    share_pool m_pool;
    periodic_timer m_tick_timer;

    bool m_active = false;
    bool m_resigning = false;
    std::optional<std::uint64_t> m_replaced_epoch;
    bool m_replace_only_if_stale = false;
    std::uint64_t m_epoch = 0;
    time_point m_lease_end{};
    /// Time when the last confirmed write was sent. No other coordinator had been named by then.
    time_point m_confirmed_at{};
    /// By this time the grants of former coordinators have expired.
    time_point m_unlock_at{};
    time_point m_next_renewal{};
    time_point m_next_unscheduled_write{};
    duration m_unscheduled_write_gap{0};
    bool m_unscheduled_write_pending = false;
    bool m_taking_over = false;
    /// Whether this coordinator holds the domain's entry; false from the expiry of the lease until the next confirmed
    /// renewal.
    bool m_holds_entry = false;
    /// Shares that are free for use after a takeover, while the write of the takeover is in progress.
    share_map m_predecessor_shares;
    time_point m_next_return_request{};
    std::map<std::string, rate_limit, std::less<>> m_limits;
    std::map<std::string, organisation_state, std::less<>> m_organisations;
    std::map<std::string, node_sessions, std::less<>> m_node_sessions;
};

} // namespace mulberry::shares
