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

/// What a keeper asks of the node around it.
class keeper_owner {
public:
    keeper_owner() = default;
    keeper_owner(const keeper_owner&) = delete;
    keeper_owner& operator=(const keeper_owner&) = delete;
    virtual ~keeper_owner() = default;

    virtual void send(std::string_view to, const messages::envelope& message) = 0;
    /// The pool document names this keeper for the own domain. An empty name: none, or a former run of this node.
    virtual void on_keeper_named(const std::string& name, std::uint64_t epoch) = 0;
    /// Another keeper was named; what this one had not granted may be handed over until the end.
    virtual void on_role_lost(const share_map& remaining, time_point end) = 0;
    /// The planned stop of the keeper has ended.
    virtual void on_resigned() = 0;
};

/// The keeper of one group of organisations in this node's failure domain, if the pool document names this node. It
/// divides the domain's part among nodes by grants. The sum of what it has granted, what it has left and what is
/// locked is always the domain's entry.
class share_keeper final : public pool_listener {
public:
    share_keeper(const share_settings& settings, std::uint32_t group, timer_service& timers, random_source& random,
                 key_value_store& store, keeper_owner& owner);

    void set_limits(std::string_view organisation, figure limits);
    /// Reads the pool document and reports the keeper named there.
    void look_up() { m_pool.refresh(); }
    /// Takes the role if the document still has this epoch, or names no keeper.
    void replace(std::uint64_t epoch);
    /// The same, but only if the keeper named there has missed two renewals.
    void replace_if_stale(std::uint64_t epoch);
    /// Gives the role up, leaving in the document what was not granted.
    void resign();
    void on_report(std::string_view from, const messages::report& report);

    bool active() const { return m_active; }
    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t store_calls() const { return m_pool.calls(); }
    std::vector<kept_status> status() const;

    bool prepare_write(messages::pool_document& document) override;
    void on_write_resolved(bool applied, time_point sent_at) override;
    void on_pool_changed() override;
    void on_pool_unreachable() override;

private:
    /// What one node holds of one organisation, as totals of its session.
    struct account {
        share adopted;
        share granted;
        share returned;
        micro_tokens demand = 0;

        share outstanding() const { return adopted + granted - returned; }
    };

    struct session {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        /// The holder's lease has ended by then on every clock.
        time_point until{};
        time_point heard{};
        bool closed = false;
        std::map<std::string, account, std::less<>> accounts;
    };

    /// The newest session of a node, and those of its former runs whose leases have not ended.
    struct member {
        session current;
        std::vector<session> former;
    };

    struct kept {
        token_bucket free;
        /// The domain's entry as last confirmed.
        parts total = 0;
        parts locked_rate = 0;
        parts locked_capacity = 0;
        share lent;
        /// Given up by the write that is under way.
        share releasing;
        micro_tokens demand = 0;
        /// Usable parts that the domain should have; less than it has when another domain is short.
        parts aim = whole;

        parts usable() const;
    };

    /// What a domain should have of an organisation, and whether another domain is short and should have more.
    struct plan {
        parts target = 0;
        bool others_need = false;
    };

    bool lease_valid() const { return m_active && m_holds_entry && m_timers.now() < m_lease_end; }
    bool named_here(const messages::pool_domain* own) const;
    bool renewal_missing() const;
    bool is_vacant(const messages::pool_domain& own) const;
    void lose_role();

    bool prepare_takeover(messages::pool_document& document, messages::pool_domain& own);
    void prepare_resignation(messages::pool_domain& own);
    void prepare_entries(messages::pool_document& document, messages::pool_domain& own);
    void reap_lapsed(messages::pool_document& document) const;
    void finish_takeover(const messages::pool_domain& own, time_point sent_at);
    void finish_renewal(const messages::pool_domain& own);
    void restore_releasing();

    void tick();
    void expire();
    void unlock_lapsed();
    void reclaim_lapsed();
    void forget_demand(session& silent);
    void reclaim(session& ended);

    static bool is_short(const kept& state);
    static parts hysteresis(const kept& state);
    static parts releasable(const kept& state, parts target);
    plan plan_for(const messages::pool_document& document, const std::string& name, const kept& state) const;
    parts claimable(const messages::pool_document& document, const std::string& name, const kept& state) const;
    bool review_organisation(const std::string& name, kept& state);
    void review();
    void recall(const std::string& name, const kept& state);

    member* open_session(std::string_view from, const messages::report& report);
    static share target_for(const kept& state, const account& entry);
    static bool brings_more(const session& lent, const messages::report& report);
    bool adopt_lines(session& lent, const messages::report& report);
    static void apply_returns(account& entry, kept& state, const messages::report_line& line);
    void answer_line(session& lent, const messages::report_line& line, bool foreign, messages::grant& answer);
    duration grant_tokens(kept& state, const messages::report_line& line, bool foreign, share& given);
    bool fleet_overloaded(const std::string& name, const kept& state) const;
    void list_keepers(messages::grant& answer) const;
    duration denial(const std::string& name, const kept& state, micro_tokens needed);
    static void check_sums(const kept& state);
    void reject(std::string_view to, const messages::report& report);
    void redirect(std::string_view to);
    kept& organisation(std::string_view name);

    const share_settings& m_settings;
    std::uint32_t m_group;
    timer_service& m_timers;
    random_source& m_random;
    keeper_owner& m_owner;
    share_pool m_pool;
    periodic_timer m_ticker;

    bool m_active = false;
    bool m_resigning = false;
    std::optional<std::uint64_t> m_replaces;
    bool m_replaces_stale_only = false;
    std::uint64_t m_epoch = 0;
    time_point m_lease_end{};
    /// When the last confirmed write was sent: no other keeper had been named then.
    time_point m_confirmed{};
    /// What former keepers hold has ended by then.
    time_point m_unlock_at{};
    time_point m_next_renewal{};
    time_point m_next_urgent{};
    duration m_urgent_gap{0};
    bool m_urgent = false;
    bool m_taking_over = false;
    /// Whether the entry is held; false from the end of the lease to the next confirmed renewal.
    bool m_holds_entry = false;
    /// What the former keeper left in the document, while the own takeover is written.
    share_map m_left;
    time_point m_next_recall{};
    std::map<std::string, figure, std::less<>> m_limits;
    std::map<std::string, kept, std::less<>> m_kept;
    std::map<std::string, member, std::less<>> m_members;
};

} // namespace mulberry::shares
